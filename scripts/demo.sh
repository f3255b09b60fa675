#!/usr/bin/env bash
# Runs the demo of one example deployment.
# usage: demo.sh BUILD_FOLDER steigflug|aigaio
set -euo pipefail
exec "$1/bin/banyankeel-demo" --deployment "$2" --binaries "$1/bin" --examples examples

#!/usr/bin/env bash
# Fails when a name that only the users' platform has is used outside platform/, deploy/, docs/ and journal/.
# The names are the texts of the headers, paths and the settings variable in platform/names.h; common HTTP headers are no such names.
set -euo pipefail
cd "$(dirname "$0")/.."

names=$(sed -n -E '/^namespace (headers|paths)/,/^}/s/.*= "([^"]+)";.*/\1/p; s/.*SettingsVariable = "([^"]+)";.*/\1/p' platform/names.h |
    grep -vxE 'Authorization|Token |Retry-After')
pattern=$(echo "$names" | sed 's/[.]/\\./g' | paste -sd '|')

if git grep -nIE "$pattern" -- . ':!platform' ':!deploy' ':!docs' ':!journal'; then
    echo "platform names: the lines above use names that only platform/ may know"
    exit 1
fi
echo "platform names: $(echo "$names" | wc -l) names, none outside platform/"

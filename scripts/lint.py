#!/usr/bin/env python3
"""Runs the linter over every source of the project.

A source is looked at again only if its text, a header of the project that it includes, its compiler flags or the rules changed since it
last passed. What passed is remembered in the user's cache folder, beside the compiler's, so that a fresh clone starts with it.

usage: lint.py BUILD_FOLDER JOBS
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import subprocess
import sys


def headers_of_objects(build):
    """The files that each object was built from, by object, as Ninja recorded them."""
    text = subprocess.run(["ninja", "-C", build, "-t", "deps"], check=True, capture_output=True, text=True).stdout
    found = {}
    current = None
    for line in text.splitlines():
        if line.startswith("    "):
            found[current].append(line.strip())
        elif ":" in line:
            current = line.split(":", 1)[0]
            found[current] = []
    return found


class Linter:
    def __init__(self, build):
        self.root = pathlib.Path.cwd()
        self.build = build
        self.cache = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "banyankeel-lint"
        self.cache.mkdir(parents=True, exist_ok=True)
        version = subprocess.run(["clang-tidy", "--version"], check=True, capture_output=True, text=True).stdout
        self.rules = (self.root / ".clang-tidy").read_bytes() + version.encode()
        self.hashes = {}

    def hash_of(self, path):
        if path not in self.hashes:
            self.hashes[path] = hashlib.sha256(path.read_bytes()).hexdigest()
        return self.hashes[path]

    def key_of(self, source, flags, headers):
        digest = hashlib.sha256(self.rules)
        # The folder of the clone is no part of what was looked at.
        digest.update(flags.replace(str(self.root), "").encode())
        for path in sorted({source, *headers}):
            digest.update(str(path.relative_to(self.root)).encode())
            digest.update(self.hash_of(path).encode())
        return digest.hexdigest()

    def look_at(self, source, stamp):
        done = subprocess.run(["clang-tidy", "--quiet", "-p", self.build, str(source)], capture_output=True, text=True, check=False)
        if done.returncode == 0:
            stamp.touch()
            return ""
        errors = "\n".join(line for line in done.stderr.splitlines() if "error" in line)
        return done.stdout + errors or f"{source}: the linter failed\n"


def main():
    build, jobs = sys.argv[1], int(sys.argv[2])
    linter = Linter(build)
    listed = subprocess.run(["git", "ls-files", "*.cpp"], check=True, capture_output=True, text=True).stdout.split()
    wanted = {linter.root / it for it in listed}
    deps = headers_of_objects(build)
    work = []
    seen = set()
    for command in json.loads((linter.root / build / "compile_commands.json").read_text()):
        source = pathlib.Path(command["file"])
        if source not in wanted or source in seen:
            continue
        seen.add(source)
        words = command["command"].split()
        output = words[words.index("-o") + 1]
        headers = [path for path in map(pathlib.Path, deps.get(output, [])) if path.is_relative_to(linter.root) and path.exists()]
        flags = " ".join(it for it in words if it.startswith(("-D", "-I", "-std", "-f")))
        stamp = linter.cache / linter.key_of(source, flags, headers)
        # Without recorded headers nothing is known of what the source includes.
        if output not in deps or not stamp.exists():
            work.append((source, stamp))
    missing = wanted - seen
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        problems = [it for it in pool.map(lambda it: linter.look_at(*it), work) if it]
    for it in problems:
        print(it)
    for it in sorted(missing):
        print(f"{it.relative_to(linter.root)}: is built by no target, so that the linter can't look at it")
    print(f"lint: {len(work)} of {len(seen)} sources looked at, {len(problems)} with findings")
    sys.exit(1 if problems or missing else 0)


main()

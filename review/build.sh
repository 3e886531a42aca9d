#!/bin/sh
# Builds what the cases start. The stand-ins are Python programs without dependencies, so there is nothing to compile: this
# checks that they can be read and that the program of the deploy file is there.
set -eu
cd "$(dirname "$0")/.."
for file in review/lib/*.py review/*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
[ -x build/sumackeel ] || { echo "build/sumackeel is missing: run the build of deploy/balancer.toml first" >&2; exit 1; }

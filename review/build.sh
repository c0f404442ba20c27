#!/bin/sh
# Builds the stand-ins of the scripts: Python's standard library is all that they need.
set -eu
cd "$(dirname "$0")"
for file in standin/*.py */scenario.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'

#!/bin/sh
# Builds what the scripts of cases 11 to 15 start, from a clean checkout and without a network: the program
# as deploy/system.toml says, and the stand-ins, which are of Python's standard library only.
set -e
cd "$(dirname "$0")/.."
cargo build --offline --locked --release -p mangotrestle
python3 - <<'CHECK'
import ast, glob, sys
assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"
for path in ["review/standin-3/standin.py"] + glob.glob("review/1[1-5]/*.py"):
    ast.parse(open(path).read(), path)
CHECK

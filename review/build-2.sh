#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are Python programs that
# use only the standard library, so that there is nothing to compile: this checks that they can run.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 10))'
for file in lib-2/*.py [0-9]*/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done

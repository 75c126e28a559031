#!/bin/sh
# The stand-ins are Python; nothing has to be compiled.
cd "$(dirname "$0")" || exit 1
python3 - <<'EOF'
import sys
assert sys.version_info >= (3, 11), "Python 3.11 or later is needed (tomllib)"
import glob
for name in glob.glob("lib/*.py") + glob.glob("*/case.py"):
    with open(name, encoding="utf-8") as source:
        compile(source.read(), name, "exec")
EOF

#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python programs without further packages; nothing
# is compiled. Checks that the interpreter can run them.
set -eu
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, glob, sys
assert sys.version_info >= (3, 10), "python3 is older than 3.10"
for path in glob.glob("standin-2/*.py") + glob.glob("[0-9]*/run.py"):
    ast.parse(open(path).read(), path)
CHECK

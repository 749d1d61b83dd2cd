#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start. They are in Python's standard library alone, so that this checks
# that there is a Python and that it takes them. The project's own programs come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'CHECK'
import ast, glob, sys
if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or later is needed")
for path in sorted(glob.glob("review/lib-2/*.py") + glob.glob("review/*/case-2.py")):
    ast.parse(open(path, encoding="utf-8").read(), path)
CHECK

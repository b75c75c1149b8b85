#!/bin/bash
# The stand-ins of the second review are Python and need no build; checks that
# they can be read by the interpreter that will run them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "Python 3.11 or newer is needed"
for file in [pathlib.Path("standins_2.py"), *pathlib.Path(".").glob("*/case.py")]:
    ast.parse(file.read_text(), str(file))
CHECK

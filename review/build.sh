#!/bin/sh
# The stand-ins are Python scripts without dependencies, so nothing is built;
# checks that they can be read.
cd "$(dirname "$0")" || exit 1
exec python3 -B -c '
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
'

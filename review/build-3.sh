#!/bin/bash
# Checks the stand-ins of the cases 11 to 15. They are Python without further
# packages, so there is nothing to compile; the programs come from the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for file in standins_3.py 1[1-5]/case.py; do
  [ -e "$file" ] || continue
  python3 -B -c 'import py_compile, sys; py_compile.compile(sys.argv[1], cfile=sys.argv[2], doraise=True)' \
    "$file" "$folder/compiled"
done

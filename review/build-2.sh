#!/bin/sh
# Checks the stand-ins of cases 4 to 8, which need nothing but the standard library.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import ast
import pathlib

for path in (pathlib.Path("stand_ins_2.py"), *sorted(pathlib.Path().glob("[4-8]/case.py"))):
    ast.parse(path.read_text(), str(path))
PYTHON

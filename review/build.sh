#!/usr/bin/env bash
# Checks that the stand-ins and the cases compile. They use the standard library
# alone, so that nothing has to be installed for them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - <<'PYTHON'
from pathlib import Path

for path in [Path("stand_ins.py"), *sorted(Path().glob("[0-9]/case.py"))]:
    compile(path.read_text(), str(path), "exec")
PYTHON

#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python programs that need only the standard library, so
# nothing is compiled beyond a check of their syntax.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON

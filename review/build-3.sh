#!/usr/bin/env bash
# Builds what the scripts of the third review start beside the build of the deploy file. Their stand-ins are
# Python modules of review/lib3, which need no build: this checks that they and the cases compile.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/bin/daisyhaven || { echo "target/bin/daisyhaven is missing: run the build of the deploy file first" >&2; exit 1; }
python3 - review/lib3/*.py review/1[1-5]/*.py <<'PYTHON'
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed, for tomllib")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
PYTHON

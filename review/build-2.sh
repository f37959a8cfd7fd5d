#!/usr/bin/env bash
# The stand-ins of the cases 6 to 10 are Python programs (review/lib2 and case.py of each case). Nothing is compiled:
# this checks that Python reads them and that the build of the deploy file stands.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/bin/daisyhaven || { echo "target/bin/daisyhaven is missing: run the build of deploy/system.toml"; exit 1; }
for file in review/lib2/*.py review/[6-9]/case.py review/10/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done

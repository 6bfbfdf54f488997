#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
export PYTHONPATH=target/deps PYTHONDONTWRITEBYTECODE=1
PYTHONPATH="target/deps:review/lib" python3 -c "import standins" || exit 2
exec python3 "$here/case.py" "$here"

#!/bin/sh
# The stand-ins are Python sources: nothing is built. This checks that they can run,
# after the build of the deploy file, which puts the libraries into target/deps.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/.." || exit 1
PYTHONPATH="target/deps:review/lib" PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import ast
import pathlib

import standins

for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
print("the stand-ins can run:", standins.ROOT.name and "yes")
PYTHON

#!/bin/sh
# Builds the stand-ins that the scripts start.  They are Python programs of the
# standard library, so that only their syntax is checked.
set -e
cd "$(dirname "$0")/.."
python3 - <<'PY'
import ast
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PY

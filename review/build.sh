#!/bin/sh
# The stand-ins are Python modules of the project and of the cases; checks that all can be compiled.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH="$PWD:$PWD/target/deps" python3 - <<'PYTHON'
import ast
import pathlib

import gooseberryquay.standins.node_platform.site  # noqa: F401

for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
PYTHON

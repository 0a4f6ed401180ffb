#!/bin/sh
# Builds the stand-ins of the second review: compiles them, and checks that what they import is there.
# The project's own stand-ins need only what the deploy file places in target/deps.
set -e
cd "$(dirname "$0")/.."
python3 -m py_compile review/standins_2/engine.py review/standins_2/fleet.py
PYTHONPATH=target/deps python3 -c "import sys; sys.path.insert(0, 'review/standins_2'); import fleet"

#!/bin/sh
# Builds the stand-ins of the third review: they need Python's standard library only.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/standins_3 review/11 review/12 review/13 review/14 review/15

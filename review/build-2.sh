#!/bin/sh
# Builds the stand-ins of the second review: Python, standard library only.
cd "$(dirname "$0")" || exit 2
exec python3 -m compileall -q ./standins_2 ./[0-9]*/case.py

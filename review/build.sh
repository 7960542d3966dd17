#!/usr/bin/env bash
# The stand-ins are Python sources: nothing has to be compiled.  This
# only checks that they, and the packages that they use, can be loaded.
set -eu
cd "$(dirname "$0")"
python3 -B - <<'END'
import ast
import pathlib
import sys

sys.path.insert(0, ".")
for path in sorted(pathlib.Path().rglob("*.py")):
    ast.parse(path.read_text(), str(path))
import harness.callers
import harness.run
import harness.servers
END

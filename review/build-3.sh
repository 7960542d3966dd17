#!/usr/bin/env bash
# Builds the stand-ins and the scripts of the third review.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standins_3 11 12 13 14 15

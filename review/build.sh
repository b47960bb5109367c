#!/bin/sh
# The stand-ins of the review and of tests/gateway are Python scripts, which
# need no build: this checks that they can be run.
set -e
cd "$(dirname "$0")/.."
python3 - review/*.py review/*/*.py tests/gateway/bench.py tests/gateway/standins.py <<'PY'
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
PY

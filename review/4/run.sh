#!/bin/sh
# TROUBLE=0: the same without the disruption.
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec python3 "$(dirname "$0")/case.py"

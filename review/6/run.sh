#!/bin/sh
# A runner at work is cut off one way. Exits with 1 if TWICE was broken.
# TROUBLE=0 does the same without the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 "$(dirname "$0")/case.py"

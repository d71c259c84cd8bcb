#!/bin/sh
# A configuration whose second half can't be read is sent. Exits with 1 if CONFIG was broken: it is acknowledged, and in force.
# TROUBLE=0 does the same without the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 "$(dirname "$0")/case.py"

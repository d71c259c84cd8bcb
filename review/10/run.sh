#!/bin/sh
# Jobs of very many tasks that can never be done. Exits with 1 if processes end over and over (RULES.md, Fault).
# TROUBLE=0 does the same without the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 "$(dirname "$0")/case.py"

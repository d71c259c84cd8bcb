#!/bin/sh
# A configuration whose second half can't be read is sent. Exits with 1 if CONFIG was broken: it is acknowledged, and in force.
exec python3 "$(dirname "$0")/case.py"

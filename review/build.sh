#!/usr/bin/env bash
# The stand-ins are Python programs that use the standard library only: nothing is compiled. Checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in standin/*.py [1-5]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done

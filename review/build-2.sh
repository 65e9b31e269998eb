#!/bin/sh
# The stand-ins of cases 4 to 8 need the standard library only: their sources
# are compiled to show that they are whole. Nothing is written.
set -e
cd "$(dirname "$0")"
for file in lab2.py [4-8]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done

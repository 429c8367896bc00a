#!/bin/sh
# The stand-ins of the scripts are Python files that need only the standard library; checks that they can be run.
cd "$(dirname "$0")/.." || exit 1
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in review/standins/*.py review/*/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done

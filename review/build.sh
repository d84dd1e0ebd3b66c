#!/bin/sh
# The stand-ins are Python scripts on the standard library, run by the .venv of the deploy build: they only need to compile.
cd "$(dirname "$0")/.." || exit 1
for case in review/[0-9]*; do
  .venv/bin/python -c 'import ast, sys; [ast.parse(open(path).read(), path) for path in sys.argv[1:]]' "$case"/*.py || exit 1
done

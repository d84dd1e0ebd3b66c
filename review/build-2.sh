#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: nothing is compiled to a file, all of them are Python of the standard
# library, run by .venv of the deploy file's build line. This checks that .venv is there and that every file compiles.
set -eu
cd "$(dirname "$0")"
for file in harness_2.py proxies_2.py 6/play.py 7/play.py 8/play.py 9/play.py 10/play.py; do
  if [ -e "$file" ]; then
    ../.venv/bin/python -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
  fi
done
# the project's own programs and stand-ins are of the package, which the deploy file's build line has compiled
../.venv/bin/python -B -c 'import embertray.cli.main' 2>/dev/null || PYTHONPATH=.. ../.venv/bin/python -B -c 'import embertray.cli.main'

#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. Those of the cases are Python scripts (standard library, and msgspec of .venv): each is
# checked to compile, and leaves no file. The project's own (the inventory) are part of the package: its bytecode is made as
# by the build line of the deploy file, which has to have made .venv before.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q --invalidation-mode checked-hash embertray
for file in harness_2.py proxies_2.py 6/play.py 7/play.py 8/play.py 9/play.py 10/play.py; do
  .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "review/$file"
done
.venv/bin/python -B -c 'import msgspec'
bin/embertray stand-in inventory --help > /dev/null

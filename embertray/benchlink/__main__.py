"""`python -m embertray.benchlink`: event batches on standard input, replies on standard output."""

import sys

from .batches import serve

sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))

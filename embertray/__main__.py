"""`python -m embertray`: the command line."""

from embertray.cli.main import main

main(prog_name="embertray")

"""`python -m embertray`: the command line."""

from .cli.main import main

main(prog_name="embertray")

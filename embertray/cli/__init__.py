"""The command line, `embertray COMMAND`: one module per group of commands."""

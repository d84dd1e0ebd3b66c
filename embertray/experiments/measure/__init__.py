"""Measurements of the true program on this machine; each is a module to be run, and prints a table."""

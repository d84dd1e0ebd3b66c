"""Measurements of the real program; each module is run by itself and prints a table or writes slopes."""

"""Estimates what each role costs at a target size, from measured slopes."""

"""Measurements of the slopes that docs/CAPACITY.md is computed from."""

"""Measurements of the slopes behind docs/CAPACITY.md."""

"""Experiments in virtual time, measurements of the real program, and the cost of a target size."""

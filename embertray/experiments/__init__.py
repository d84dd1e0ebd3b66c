"""Experiments in virtual time, measurements of the true program, and what a target size costs."""

"""Experiments on whole fleets: factors by levels by seeds, results in one file, reports, and hunts for bad
days.
"""

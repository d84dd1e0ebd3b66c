"""Experiments on simulated fleets: factorial designs, results, reports, searches for failing days."""

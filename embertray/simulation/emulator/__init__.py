"""Simulations under virtual time: days, clusters, limits and the control plane, as models round production cores."""

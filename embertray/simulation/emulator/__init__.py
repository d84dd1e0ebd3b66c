"""Simulations under virtual time: days, clusters, limits and the control plane on production cores."""

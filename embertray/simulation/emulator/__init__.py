"""Simulations in virtual time with production cores: days, clusters, limits and the control plane."""

"""The controllers of one site as a cluster: membership, shared state, limits, replicated configuration.

These packages are not loaded unless the site has a <cluster> or <control> element.
"""

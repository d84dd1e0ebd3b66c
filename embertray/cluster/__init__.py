"""Processes of one site that form a cluster: membership, shared entries, limits, replicated configuration.

Nothing of it is loaded without a <cluster> or <control> in the site.
"""

"""Whole fleets as flows: proxies whose reqs are counts, so that hours of a fleet take minutes. Grows with its
issue.
"""

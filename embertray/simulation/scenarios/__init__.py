"""Scenarios: days with faults, played with the real controller and judged by five rules.

The package has their notation, the player, the observer and the rules.
"""

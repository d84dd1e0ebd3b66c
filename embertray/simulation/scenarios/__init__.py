"""Scenarios: days of faults, played through the true controller and judged by five rules.

Here are their notation, the player, the observer and the rules.
"""

"""Bad days: their notation, the player that runs them through the true controller, the observer and the
rules.
"""

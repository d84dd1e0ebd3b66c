"""Named levels of reduced service: what is given up when not all can be served, told to operators, proxies
and clients.
"""

from .reduced import Change, Reduced

__all__ = ["Change", "Reduced"]

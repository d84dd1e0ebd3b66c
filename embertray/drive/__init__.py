"""What drives the decision module: its identifiers, timers, the list's starts; one text for daemon and
platform; no I/O.
"""

from .drive import Drive

__all__ = ["Drive"]

"""What steps the decision module: its identifiers, timers, the list's starts; one text for daemon and
platform; no I/O.
"""

from .runner import Runner

__all__ = ["Runner"]

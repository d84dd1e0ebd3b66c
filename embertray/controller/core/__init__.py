"""One controller without I/O: the decision module with its identifiers, outbox, channel and intake, and the
desk before it.
"""

from .desk import Desk
from .instance import Instance

__all__ = ["Desk", "Instance"]

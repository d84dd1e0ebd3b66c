"""One controller without I/O: the decision module with its door, outbox, channel and intake."""
from .instance import Instance

__all__ = ["Instance"]

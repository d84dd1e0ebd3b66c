"""The running controller: tasks for its steps, its proxies' streams, its endpoint list and its HTTP."""

from .service import Service

__all__ = ["Service"]

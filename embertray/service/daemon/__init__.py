"""The running controller: task groups round the core, its streams, its list, its operators' HTTP."""

from .service import Service

__all__ = ["Service"]

"""The controller daemon: step loop, proxies' streams, endpoint list client and operators' HTTP."""

from .service import Service

__all__ = ["Service"]

"""Memory by purpose: who holds what, its cap, and what is done at the cap; no I/O."""

from .accounts import Accounts
from .sizes import Collection

__all__ = ["Accounts", "Collection"]

"""Memory by purpose: who holds what, its cap, and what is done at the cap; no I/O."""

from .accounts import MemoryAccounts
from .sizing import Collection

__all__ = ["MemoryAccounts", "Collection"]

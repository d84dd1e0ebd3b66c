"""Memory by purpose: what takes how much, its cap, and what is done at the cap; no I/O."""

from .accounts import CapInstruction, CapNotice, MemoryAccounts
from .sizing import Collection

__all__ = ["CapInstruction", "CapNotice", "Collection", "MemoryAccounts"]

"""Memory accounting by purpose, without I/O: usage, cap, and the action at the cap."""

from .accounts import CapInstruction, CapNotice, MemoryAccounts
from .sizing import Collection

__all__ = ["CapInstruction", "CapNotice", "Collection", "MemoryAccounts"]

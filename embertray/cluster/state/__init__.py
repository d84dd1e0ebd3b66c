"""Entries shared by all members: each has one owner, can be merged in any order, and is read with its age.

`staleness.staleness_bound_ns` states how stale an entry can be.
The design is in docs/design/cluster.md.
"""

from .entry import Entry
from .exceptions import StoreError, StoreFullError
from .exchange import AntiEntropyExchange, Delta, Offer
from .staleness import staleness_bound_ns
from .store import EntryStore

__all__ = [
    "AntiEntropyExchange",
    "Delta",
    "Entry",
    "EntryStore",
    "Offer",
    "StoreError",
    "StoreFullError",
    "staleness_bound_ns",
]

"""Entries that members share: one owner each, merged in any order, read with their age.

How stale an entry can be is stated in one place: `staleness.staleness_bound_ns`.
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

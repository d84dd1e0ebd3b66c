"""What members tell each other: entries with one owner each, merged in any order, with their age
(docs/design/cluster.md).
"""

from .entry import Entry
from .exchange import AntiEntropyExchange
from .store import EntryStore, StoreFullError

__all__ = ["AntiEntropyExchange", "Entry", "EntryStore", "StoreFullError"]

"""What members tell each other: entries with one owner each, merged in any order, with their age
(docs/design/cluster.md).
"""

from .entry import Entry
from .exchange import Exchange
from .store import EntryStore, Full

__all__ = ["Entry", "EntryStore", "Exchange", "Full"]

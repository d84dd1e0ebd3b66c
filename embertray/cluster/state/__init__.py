"""What members tell each other: entries with one owner each, merged in any order, with their age
(docs/design/cluster.md).
"""

from .book import Book, Full
from .entry import Entry
from .exchange import Exchange

__all__ = ["Book", "Entry", "Exchange", "Full"]

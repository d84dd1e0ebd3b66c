"""A shared entry: as it travels, as it is stored and as readers get it."""

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from embertray.cluster.membership.member import Count, Name

MAX_KEY_CHARACTERS = 256
ENTRY_OVERHEAD_BYTES = 200  # charged for each entry beside its texts: the objects that hold it


class EntryId(NamedTuple):
    """What identifies an entry in the cluster."""

    owner: str
    key: str


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """An entry as it travels between members. Field order is the wire's.

    Attributes:
        owner: Name of the only member that may write it.
        key: Its key, unique for the owner.
        incarnation: The owner's incarnation that wrote it.
        version: Counts all writes of the owner; of one incarnation the later version holds.
        age_ns: Time since the owner wrote it, ns. It travels as a duration, as the members' clocks may be
            hours apart.
        value: What was written; None for a tombstone, which stands for a deleted entry.
    """

    owner: Name
    key: Annotated[str, Meta(max_length=MAX_KEY_CHARACTERS)]
    incarnation: Count
    version: Count
    age_ns: Count
    value: bytes | None

    @property
    def entry_id(self):
        """The EntryId."""
        return EntryId(self.owner, self.key)


class StoredEntry(NamedTuple):
    """An entry in the store.

    Attributes:
        incarnation: As in Entry.
        version: As in Entry.
        written_at: When the owner wrote it, ns by this member's clock.
        value: As in Entry.
    """

    incarnation: int
    version: int
    written_at: int
    value: bytes | None


class KnownValue(NamedTuple):
    """An entry as a reader gets it.

    Attributes:
        owner: Name of the member that wrote it.
        value: What it wrote.
        age_ns: Time since it wrote that, ns.
    """

    owner: str
    value: bytes
    age_ns: int


def entry_size(owner, key, value):
    """Return the bytes that an entry is charged.

    Args:
        owner: Name of the owner.
        key: Key of the entry.
        value: Its value, or None for a tombstone.

    Returns:
        The size, bytes.
    """
    return len(owner) + len(key) + len(value or b"") + ENTRY_OVERHEAD_BYTES

"""A shared entry: as it is sent, as it is stored and as it is read."""

from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from embertray.cluster.membership.member import Count, Name

MAX_KEY_CHARACTERS = 256
ENTRY_OVERHEAD_BYTES = 200  # memory of the objects that hold an entry, counted in addition to its contents


class EntryId(NamedTuple):
    """Identifies an entry in the cluster."""

    owner: str
    key: str


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """An entry as it is sent between members. The field order is the order on the wire.

    Attributes:
        owner: Name of the only member that may write it.
        key: Its key, unique per owner.
        incarnation: The owner's incarnation that wrote it.
        version: The owner's write counter; within an incarnation the higher version prevails.
        age_ns: Time since the owner wrote it, ns. A duration, because the members' clocks may be hours apart.
        value: The value; None for a tombstone, which marks a deleted entry.
    """

    owner: Name
    key: Annotated[str, Meta(max_length=MAX_KEY_CHARACTERS)]
    incarnation: Count
    version: Count
    age_ns: Count
    value: bytes | None

    @property
    def entry_id(self):
        """The entry's EntryId."""
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
    """An entry as it is read.

    Attributes:
        owner: Name of the member that wrote it.
        value: The value.
        age_ns: Time since the owner wrote it, ns.
    """

    owner: str
    value: bytes
    age_ns: int


def entry_size(owner, key, value):
    """Return the size at which an entry is counted, bytes.

    Args:
        owner: Name of the owner.
        key: Key of the entry.
        value: Its value, or None for a tombstone.

    Returns:
        The size, bytes.
    """
    return len(owner) + len(key) + len(value or b"") + ENTRY_OVERHEAD_BYTES

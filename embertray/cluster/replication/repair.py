"""Comparison of a subscriber's store with its replica's, by the inventory of one digest bucket."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Difference:
    """How a subscriber's bucket differs from the replica's.

    Attributes:
        removed: keys that the replica no longer has.
        corrupt: keys that have the replica's revision but another value.
        missing_from: lowest revision of an entry that the subscriber lacks; None if it lacks none.
    """

    removed: list[str]
    corrupt: list[str]
    missing_from: int | None


def compare(store, inventory):
    """Compares one bucket of a subscriber's store with the replica's inventory.

    Entries newer than the inventory, or than the store, are not differences: they arrive with an update.

    Args:
        store: the subscriber's VersionedStore.
        inventory: the replica's Inventory.

    Returns:
        A Difference.
    """
    listed = {item.key: item for item in inventory.items}
    removed = []
    corrupt = []
    for own in store.inventory(inventory.bucket):
        item = listed.get(own.key)
        if item is None and own.revision <= inventory.upto:
            removed.append(own.key)
        elif item is not None and item.revision == own.revision and item != own:
            corrupt.append(own.key)
    missing = [
        item.revision
        for item in inventory.items
        if item.revision <= store.revision and (item.key in corrupt or _is_older(store, item))
    ]
    return Difference(removed, corrupt, min(missing, default=None))


def _is_older(store, item):
    """Whether the store lacks the item's key, or has an older entry of it."""
    entry = store.get(item.key)
    return entry is None or entry.revision < item.revision

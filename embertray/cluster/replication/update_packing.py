"""Selection of the entries for a subscriber's next update, within the bytes that it may be sent now."""

from .messages import Update


def pack_recent(store, subscription, room):
    """Packs entries written since the subscriber subscribed.

    Args:
        store: the replica's VersionedStore.
        subscription: a Subscription.
        room: bytes available for entries.

    Returns:
        An Update that leaves the subscriber's revision as it is; None if there is no entry, or none fits.
    """
    entries, _ = _entries_that_fit(store.entries_since(subscription.recent_sent), room)
    return Update(subscription.confirmed, subscription.confirmed, entries) if entries else None


def pack_missing(store, subscription, room, chunk):
    """Packs entries that the subscriber lacks, in ascending revision order.

    Args:
        store: the replica's VersionedStore.
        subscription: a Subscription.
        room: bytes available for entries.
        chunk: smallest size, in bytes, of an update that leaves entries behind.

    Returns:
        An Update; None if it has to wait for more room.
    """
    entries, too_large = _entries_that_fit(store.entries_since(subscription.confirmed), room)
    size = sum(entry.size for entry in entries)
    if too_large is not None and not entries:
        return None
    # entries before one larger than a chunk are sent without it, as they would never fit together
    before_large = too_large is not None and too_large.size > chunk and size > 0
    if too_large is not None and size < chunk and not before_large:
        return None
    upto = store.revision if too_large is None else entries[-1].revision
    return Update(subscription.confirmed, upto, entries)


def _entries_that_fit(entries, room):
    """The first entries that fit into `room` bytes, and the first one that does not; None if all do."""
    fitting = []
    for entry in entries:
        room -= entry.size
        if room < 0:
            return fitting, entry
        fitting.append(entry)
    return fitting, None

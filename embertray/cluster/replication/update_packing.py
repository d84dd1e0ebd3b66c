"""Which entries go into a subscriber's next update, by the bytes that it may be sent now."""

from .messages import Update


def pack_recent(store, subscription, room):
    """Packs what was written since the subscriber subscribed.

    Args:
        store: the replica's VersionedStore.
        subscription: a Subscription.
        room: bytes that entries may take.

    Returns:
        An Update that confirms nothing new; None if no entry fits or none was written.
    """
    entries, _ = _entries_that_fit(store.entries_since(subscription.recent_sent), room)
    return Update(subscription.confirmed, subscription.confirmed, entries) if entries else None


def pack_missing(store, subscription, room, chunk):
    """Packs what the subscriber lacks, by rising revision.

    Args:
        store: the replica's VersionedStore.
        subscription: a Subscription.
        room: bytes that entries may take.
        chunk: bytes under which no update goes while more waits.

    Returns:
        An Update; None if it has to wait for more room.
    """
    entries, too_large = _entries_that_fit(store.entries_since(subscription.confirmed), room)
    size = sum(entry.size for entry in entries)
    if too_large is not None and not entries:
        return None
    # what fits before an entry larger than a chunk goes alone: they would never fit together
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

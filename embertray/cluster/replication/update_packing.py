"""Selection of the entries for a subscriber's next update, within the bytes that it may be sent now."""

from .messages import Update


def pack_recent(store, subscription, available_bytes):
    """Packs entries written since the subscriber subscribed.

    Args:
        store: the replica's VersionedStore.
        subscription: a Subscription.
        available_bytes: bytes available for entries.

    Returns:
        An Update that leaves the subscriber's revision as it is; None if there is no entry, or none fits.
    """
    entries, _ = _entries_that_fit(store.entries_since(subscription.recent_sent), available_bytes)
    return Update(subscription.confirmed, subscription.confirmed, entries) if entries else None


def pack_missing(store, subscription, available_bytes, min_update_bytes):
    """Packs entries that the subscriber lacks, in ascending revision order.

    Args:
        store: the replica's VersionedStore.
        subscription: a Subscription.
        available_bytes: bytes available for entries.
        min_update_bytes: smallest size, in bytes, of an update that leaves entries behind.

    Returns:
        An Update; None if it has to wait for a larger budget.
    """
    entries, too_large = _entries_that_fit(store.entries_since(subscription.confirmed), available_bytes)
    size = sum(entry.size for entry in entries)
    if too_large is not None and not entries:
        return None
    # entries before one larger than the minimum are sent without it, as they would never fit together
    before_large = too_large is not None and too_large.size > min_update_bytes and size > 0
    if too_large is not None and size < min_update_bytes and not before_large:
        return None
    upto = store.revision if too_large is None else entries[-1].revision
    return Update(subscription.confirmed, upto, entries)


def _entries_that_fit(entries, available_bytes):
    """The first entries that fit into `available_bytes`, and the first one that does not (None if all do)."""
    fitting = []
    for entry in entries:
        available_bytes -= entry.size
        if available_bytes < 0:
            return fitting, entry
        fitting.append(entry)
    return fitting, None

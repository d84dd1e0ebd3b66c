"""The daemon's own collections for the memory accounts, and the memory page."""

import anyio

from embertray.common.memory import Collection
from embertray.common.net.process import resident_memory

# Types and attributes that the size estimate of a stream leaves out: they belong to the transport.
TRANSPORT_TYPES = (anyio.Event, anyio.CancelScope)
TRANSPORT_ATTRIBUTES = ("stream", "on_sent", "read", "scope")


def service_collections(service):
    """Returns the collections that the streams, the endpoint list client and the cluster hold.

    Args:
        service: The Service.

    Returns:
        Purpose -> Collections.
    """
    collections = {"streams": _streams(service), "list": _endpoint_list(service)}
    if service.cluster:
        collections["cluster"] = service.cluster.memory_collections()
    return collections


def _streams(service):
    streams = list(service.streams.values())
    cuts = service.admission.cuts
    return [
        Collection(
            "streams",
            len(streams),
            lambda: streams,
            [service.streams],
            TRANSPORT_TYPES,
            TRANSPORT_ATTRIBUTES,
        ),
        Collection(
            "untaken",
            sum(len(stream.conn.queue) for stream in streams),
            lambda: (data for stream in streams for data in stream.conn.queue),
        ),
        Collection("cuts", len(cuts), cuts.items, [cuts]),
    ]


def _endpoint_list(service):
    parts = {
        "entries": service.endpoint_list.follower.entries,
        "known": service.trust.backends,
        "gone": service.trust.tombstones.entries,
    }
    return [Collection(name, len(part), part.items, [part]) for name, part in parts.items()]


def memory_page(service):
    """Returns the memory accounts and the process's resident memory as a dict; sizes in bytes."""
    resident_bytes = resident_memory()
    purposes = service.core.accounts.rows()
    accounted = sum(row["bytes"] for row in purposes)
    return {
        "purposes": purposes,
        "resident": resident_bytes,
        "at_start": service.resident_at_start,
        "unaccounted": resident_bytes - service.resident_at_start - accounted,
        "held_back": service.core.deferred_entries,
    }

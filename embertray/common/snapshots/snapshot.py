"""The state saved by a controller: the endpoint list, its confirmation times, and recent removals.

Not saved: tables (proxies hold them), learned capacity and health (learned again within seconds, and wrong
after a replacement), withdrawals (ordered again from the list). docs/design/start.md gives the reasons.
"""

import msgspec

from embertray.common.fields import Name

from .exceptions import UnreadableSnapshotError

# Minimum interval of snapshots, ns: a deployment changes the list many times a second.
SNAPSHOT_PERIOD_NS = 1 * 10**9
# An unchanged list is saved again after this time, ns, which limits the error of its age after a restart.
CONFIRMATION_PERIOD_NS = 15 * 10**9


class SnapshotEntry(msgspec.Struct, array_like=True, frozen=True):
    """One backend of the saved list. The order of the fields is the file format.

    Attributes:
        backend: Name of the backend.
        zone: Name of its zone.
        state: `ready`, `draining` or `gone`.
        started: When it started, ns by the inventory's clock; 0 if long ago.
        confirmed: When the inventory last listed it, ns since 1970 by this machine's clock.
        nominal: Nominal capacity, relative to other backends.
    """

    backend: Name
    zone: Name
    state: str
    started: int
    confirmed: int
    nominal: float = 1.0


class Snapshot(msgspec.Struct, array_like=True):
    """The saved list. The order of the fields is the file format.

    Attributes:
        epoch: Version of the list.
        inventory_clock: Time of the snapshot by the inventory's clock, ns.
        wall_clock: Time of the snapshot by this machine's wall clock, ns since 1970.
        boot_id: The system's identifier of the boot at that time; "" if it has none.
        boot_clock: Time since that boot at the snapshot, ns.
        entries: The backends.
        removed: Recently removed backends: an older list must not restore them.
    """

    epoch: int
    inventory_clock: int
    wall_clock: int
    boot_id: str
    boot_clock: int
    entries: list[SnapshotEntry]
    removed: list[SnapshotEntry] = []


def encode_snapshot(snapshot):
    """Encodes a Snapshot to bytes."""
    return msgspec.msgpack.encode(snapshot)


def decode_snapshot(content):
    """Decodes a Snapshot.

    Args:
        content: Bytes from `encode_snapshot`.

    Returns:
        The Snapshot.

    Raises:
        UnreadableSnapshotError: The bytes do not decode to a Snapshot.
    """
    try:
        return msgspec.msgpack.decode(content, type=Snapshot)
    except msgspec.DecodeError as error:
        raise UnreadableSnapshotError(f"can't decode the content: {error}") from None

"""What a controller saves: the endpoint list, when each entry was last confirmed, and who was lately removed.

Not saved: tables (proxies hold them), learnt capacity and health (learnt anew within seconds, and wrong after
a replacement), withdrawals (removals are ordered anew from the list). docs/design/start.md gives the reasons.
"""

import msgspec

from embertray.common.fields import Name

from .exceptions import UnreadableSnapshotError

# Shortest time between two snapshots, ns: a deploy changes the list many times a second.
SNAPSHOT_PERIOD_NS = 1 * 10**9
# An unchanged list is saved again after this time, ns, so that its age is known to that precision.
CONFIRMATION_PERIOD_NS = 15 * 10**9


class SnapshotEntry(msgspec.Struct, array_like=True, frozen=True):
    """One backend of the saved list. The order of the fields is the file's.

    Attributes:
        backend: Its name.
        zone: Its zone.
        state: `ready`, `draining` or `gone`.
        started: When it started, ns by the inventory's clock; 0: long ago.
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
    """The saved list. The order of the fields is the file's.

    Attributes:
        epoch: Version of the list.
        inventory_clock: The inventory's clock when the snapshot was taken, ns.
        wall_clock: Our wall clock then, ns since 1970.
        boot_id: The system's name for its boot then; "" where it has none.
        boot_clock: Time since that boot, ns.
        entries: The backends.
        removed: Backends that were lately removed: an older list must not bring them back.
    """

    epoch: int
    inventory_clock: int
    wall_clock: int
    boot_id: str
    boot_clock: int
    entries: list[SnapshotEntry]
    removed: list[SnapshotEntry] = []


def encode_snapshot(snapshot):
    """Returns the bytes of a Snapshot."""
    return msgspec.msgpack.encode(snapshot)


def decode_snapshot(content):
    """Reads a Snapshot.

    Args:
        content: Bytes from `encode_snapshot`.

    Returns:
        The Snapshot.

    Raises:
        UnreadableSnapshotError: The bytes are no Snapshot.
    """
    try:
        return msgspec.msgpack.decode(content, type=Snapshot)
    except msgspec.DecodeError as error:
        raise UnreadableSnapshotError(f"its content can't be read: {error}") from None

"""What a controller keeps: the list, when each entry was last confirmed, and who lately went.

Not kept: tables (proxies hold them), learnt capacity and health (learnt anew within seconds, and wrong after
a replacement), withdrawals (removals are ordered anew from the list). docs/design/start.md gives the reasons.
"""

import time
from pathlib import Path

import msgspec

from embertray.common.fields import Name

from .store import SnapshotStore

# -- constants: value, unit, reason
SNAPSHOT_PERIOD_NS = (
    10**9
)  # ns between two snapshots at the least: a deploy changes the list many times a second
CONFIRMATION_PERIOD_NS = (
    15 * 10**9
)  # ns after which a list that stands is written anew, so that its age is known to that


class SnapshotEntry(msgspec.Struct, array_like=True, frozen=True):
    """`started` by the inventory's clock; `confirmed` by our wall clock: when the inventory last stood for
    it.
    """

    backend: Name
    zone: Name
    state: str
    started: int
    confirmed: int
    nominal: float = 1.0


class Snapshot(msgspec.Struct, array_like=True):
    """`clock`: the inventory's when it last spoke; `wall`, `boot`, `mono`: ours then (ns; boot id of the
    system).
    """

    epoch: int
    inventory_clock: int
    wall_clock: int
    boot_id: str
    boot_clock: int
    entries: list[SnapshotEntry]
    removed: list[SnapshotEntry] = []  # told gone lately: an older list must not bring them back


class BadBody(ValueError):
    pass


def read(body):
    try:
        return msgspec.msgpack.decode(body, type=Snapshot)
    except msgspec.DecodeError as wrong:
        raise BadBody(f"its content can't be read: {wrong}") from None


def boot_id():
    """The system's name for this boot; "" where it tells none (ages then rest on the wall clock alone)."""
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""


class DurableSnapshots:
    """Snapshots in a folder. `waits`: saving blocks, so it belongs in a thread."""

    blocking = True

    def __init__(self, folder, disk=None):
        self.store, self.boot = SnapshotStore(folder, disk), boot_id()

    def open(self):
        """Raises FolderLocked or OSError."""
        self.store.lock()

    def close(self):
        self.store.unlock()

    def clock_reading(self):
        """(wall, boot, mono) now."""
        return time.time_ns(), self.boot, time.clock_gettime_ns(time.CLOCK_BOOTTIME)

    def save(self, snapshot):
        self.store.save(msgspec.msgpack.encode(snapshot))

    def load(self):
        """(Snapshot or None, reasons)"""
        return self.store.load(read)


class InMemorySnapshots:
    """The same for runs without a disk; `clock` as in net/clock.py, or None."""

    blocking = False

    def __init__(self, clock=None):
        self.last_saved, self.first_saved, self.clock = None, None, clock

    def open(self):
        pass

    def close(self):
        pass

    def clock_reading(self):
        return (self.clock.wall(), "", 0) if self.clock else (time.time_ns(), "", 0)

    def save(self, snapshot):
        self.last_saved, self.first_saved = snapshot, self.first_saved or snapshot

    def load(self):
        return self.last_saved, []

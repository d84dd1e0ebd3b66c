"""Reads the clocks from which the age of a snapshot is computed at the next start."""

import time
from pathlib import Path
from typing import NamedTuple

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


class ClockReading(NamedTuple):
    """This machine's clocks at one instant.

    Attributes:
        wall: Wall clock, ns since 1970; it may be set by an operator or NTP.
        boot_id: The system's identifier of the current boot; "" if it has none.
        since_boot: Time since that boot, ns; it can't be set.
    """

    wall: int
    boot_id: str
    since_boot: int


def read_boot_id():
    """Returns the system's identifier of the current boot.

    It is "" if the system has none; ages are then computed from the wall clock alone.
    """
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""


def read_clocks(boot_id):
    """Returns the current ClockReading, with the given boot id."""
    return ClockReading(time.time_ns(), boot_id, time.clock_gettime_ns(time.CLOCK_BOOTTIME))

"""Reads the clocks that give the age of a snapshot at the next start."""

import time
from pathlib import Path
from typing import NamedTuple

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


class ClockReading(NamedTuple):
    """This machine's clocks at one instant.

    Attributes:
        wall: Wall clock, ns since 1970; an operator or NTP may set it.
        boot_id: The system's name for this boot; "" where it has none.
        since_boot: Time since that boot, ns; nobody can set it.
    """

    wall: int
    boot_id: str
    since_boot: int


def read_boot_id():
    """Returns the system's name for this boot.

    It is "" where the system has none; ages then rest on the wall clock alone.
    """
    try:
        return BOOT_ID_FILE.read_text().strip()
    except OSError:
        return ""


def read_clocks(boot_id):
    """Returns a ClockReading of now, within the boot of that name."""
    return ClockReading(time.time_ns(), boot_id, time.clock_gettime_ns(time.CLOCK_BOOTTIME))

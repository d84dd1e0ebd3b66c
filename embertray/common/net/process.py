"""Memory usage of a process, as the system measures it."""

import os
import resource
from pathlib import Path

BYTES_PER_KIB = 1024
RESIDENT_PAGES_FIELD = 1  # of /proc/PID/statm


def resident_memory(pid="self"):
    """Returns the resident set size of a process, bytes.

    On systems without /proc: the peak resident set size of this process.
    """
    try:
        fields = Path(f"/proc/{pid}/statm").read_text().split()
        return int(fields[RESIDENT_PAGES_FIELD]) * os.sysconf("SC_PAGE_SIZE")
    except OSError:
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_KIB

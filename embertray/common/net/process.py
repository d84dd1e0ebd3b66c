"""What the system says of this process."""

import os
import resource
from pathlib import Path


def resident(pid="self"):
    """Bytes in memory; where /proc is not there, the most ever (ru_maxrss, KiB)."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except OSError:
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024

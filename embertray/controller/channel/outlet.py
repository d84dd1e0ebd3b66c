"""How long a slow proxy is waited for: what has left the channel and is not taken yet, and when its stream is
cut.

No I/O. A proxy that does not read must not hold what others need: its buffer is bounded in bytes and in age,
and past either its stream is cut. It keeps what it holds and dials again when admission lets it
(admission.py).
"""

from collections import deque

S = 10**9
# -- constants: value, unit, reason
MOST_BYTES = (
    256 * 1024
)  # four whole tables of 1,000 lines: more than is ever open at once for a proxy that reads
PROBE_WITHIN = S // 2  # ns a probe may take: a backend that takes no connection so long is as good as down
OLDEST = 5 * S  # ns; over any pause known of proxies (2 s), under the age at which orders are of no use
UNANSWERED = (
    60 * S
)  # ns; a proxy that reads but answers no nonce so long: each further nonce would be kept for it
GAP, SETTLE = (
    S,
    2 * S,
)  # ns; a longer gap between looks means that we stood still, and for how long after it nobody
#                              is blamed for being late: what they sent waits in our own sockets


class Awake:
    """Whether this process has run without a gap for long enough to blame others for being late."""

    def __init__(self, now):
        self.last = self.since = now

    def look(self, now):
        if now - self.last > GAP:
            self.since = now
        self.last = now
        return now - self.since >= SETTLE


class Outlet:
    """One stream's untaken bytes."""

    def __init__(self):
        self.held, self.bytes = deque(), 0

    def put(self, now, size):
        self.held.append((now, size))
        self.bytes += size

    def taken(self):
        """The transport has taken the oldest."""
        self.bytes -= self.held.popleft()[1]

    def verdict(self, now):
        """None, or why the stream is to be cut."""
        if self.bytes > MOST_BYTES and len(self.held) > 1:
            return f"{self.bytes} bytes are not taken, {MOST_BYTES} at most"
        if self.held and now - self.held[0][0] > OLDEST:
            return f"the oldest order was not taken for {(now - self.held[0][0]) / S:.1f} s"
        return None

    def look_at(self):
        """When to look again, ns; None when nothing waits."""
        return self.held[0][0] + OLDEST + 1 if self.held else None

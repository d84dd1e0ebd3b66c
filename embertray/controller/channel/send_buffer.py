"""How long a slow proxy is waited for: what has left the channel and is not taken yet, and when its stream is
cut.

No I/O. A proxy that does not read must not hold what others need: its buffer is bounded in bytes and in age,
and past either its stream is cut. It keeps what it holds and dials again when admission lets it
(admission.py).
"""

from collections import deque

S = 10**9
# -- constants: value, unit, reason
UNSENT_BYTES_MAX = (
    256 * 1024
)  # four whole tables of 1,000 lines: more than is ever open at once for a proxy that reads
PROBE_TIMEOUT_NS = (
    S // 2
)  # ns a probe may take: a backend that takes no connection so long is as good as down
UNSENT_AGE_MAX_NS = (
    5 * S
)  # ns; over any pause known of proxies (2 s), under the age at which orders are of no use
NONCE_TIMEOUT_NS = (
    60 * S
)  # ns; a proxy that reads but answers no nonce so long: each further nonce would be kept for it
STALL_GAP_NS, STALL_GRACE_NS = (
    S,
    2 * S,
)  # ns; a longer gap between looks means that we stood still, and for how long after it nobody
#                              is blamed for being late: what they sent waits in our own sockets


class StallWatch:
    """Whether this process has run without a gap for long enough to blame others for being late."""

    def __init__(self, now):
        self.last = self.since = now

    def is_steady(self, now):
        if now - self.last > STALL_GAP_NS:
            self.since = now
        self.last = now
        return now - self.since >= STALL_GRACE_NS


class SendBuffer:
    """One stream's untaken bytes."""

    def __init__(self):
        self.unsent, self.bytes = deque(), 0

    def sent(self, now, size):
        self.unsent.append((now, size))
        self.bytes += size

    def taken(self):
        """The transport has taken the oldest."""
        self.bytes -= self.unsent.popleft()[1]

    def overdue_reason(self, now):
        """None, or why the stream is to be cut."""
        if self.bytes > UNSENT_BYTES_MAX and len(self.unsent) > 1:
            return f"{self.bytes} bytes are not taken, {UNSENT_BYTES_MAX} at most"
        if self.unsent and now - self.unsent[0][0] > UNSENT_AGE_MAX_NS:
            return f"the oldest order was not taken for {(now - self.unsent[0][0]) / S:.1f} s"
        return None

    def next_check(self):
        """When to look again, ns; None when nothing waits."""
        return self.unsent[0][0] + UNSENT_AGE_MAX_NS + 1 if self.unsent else None

"""Bounds what waits in the send buffer of a slow proxy, without I/O.

A proxy that does not read must not take memory that others need: what has left the channel and was not taken
by its transport is bounded in bytes and in age, and past either bound its stream is cut. The proxy keeps its
tables and connects again when admission.py lets it.
"""

from collections import deque
from typing import NamedTuple

NS_PER_SECOND = 10**9
# Four complete tables of 1,000 lines: more than is ever outstanding for a proxy that reads.
UNSENT_BYTES_MAX = 256 * 1024
# Over any pause known of proxies (2 s), and under the age at which orders are of no use, ns.
UNSENT_AGE_MAX_NS = 5 * NS_PER_SECOND


class UnsentMessage(NamedTuple):
    """A message that the transport has not taken.

    Attributes:
        queued_at: When it was handed to the transport, ns.
        size: Bytes.
    """

    queued_at: int
    size: int


class SendBuffer:
    """What one stream's transport has not taken yet.

    Attributes:
        unsent: UnsentMessage items, the oldest first.
        bytes: Their size.
    """

    def __init__(self):
        self.unsent = deque()
        self.bytes = 0

    def message_queued(self, now, size):
        """Records that a message of `size` bytes was handed to the transport at `now` (ns)."""
        self.unsent.append(UnsentMessage(now, size))
        self.bytes += size

    def message_written(self):
        """Records that the transport has taken the oldest message."""
        self.bytes -= self.unsent.popleft().size

    def overdue_reason(self, now):
        """Judges the buffer at `now` (ns).

        Returns:
            Why the stream is to be cut, in words; None: it is not. One large message alone is no fault.
        """
        if self.bytes > UNSENT_BYTES_MAX and len(self.unsent) > 1:
            return f"{self.bytes} bytes are not taken, {UNSENT_BYTES_MAX} at most"
        if self.unsent:
            age = now - self.unsent[0].queued_at
            if age > UNSENT_AGE_MAX_NS:
                return f"the oldest order was not taken for {age / NS_PER_SECOND:.1f} s"
        return None

    def next_check(self):
        """Returns when to judge it again, ns; None: nothing waits."""
        return self.unsent[0].queued_at + UNSENT_AGE_MAX_NS + 1 if self.unsent else None

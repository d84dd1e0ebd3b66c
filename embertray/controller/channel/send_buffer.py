"""Bounds the unsent data of a slow proxy, without I/O.

A proxy that does not read must not take up memory that others need: what the channel has released and the
proxy's transport has not written is bounded in bytes and in age, and a stream past either bound is cut. The
proxy keeps its tables and reconnects when admission.py admits it.
"""

from collections import deque
from typing import NamedTuple

NS_PER_SECOND = 10**9
# Four complete tables of 1,000 lines: more than a proxy that reads ever has outstanding.
UNSENT_BYTES_MAX = 256 * 1024
# Longer than the longest known pause of a proxy (2 s), shorter than the age at which orders are useless.
UNSENT_AGE_MAX_NS = 5 * NS_PER_SECOND


class UnsentMessage(NamedTuple):
    """A message that the transport has not written yet.

    Attributes:
        queued_at: When it was passed to the transport, ns.
        size: Its size in bytes.
    """

    queued_at: int
    size: int


class SendBuffer:
    """The messages that one stream's transport has not written yet.

    Attributes:
        unsent: UnsentMessage items, the oldest first.
        bytes: Their total size.
    """

    def __init__(self):
        self.unsent = deque()
        self.bytes = 0

    def message_queued(self, now, size):
        """Records that a message of `size` bytes was passed to the transport at `now` (ns)."""
        self.unsent.append(UnsentMessage(now, size))
        self.bytes += size

    def message_written(self):
        """Records that the transport has written the oldest message."""
        self.bytes -= self.unsent.popleft().size

    def overdue_reason(self, now):
        """Checks the bounds at `now` (ns).

        Returns:
            The reason to cut the stream; None: both bounds are kept. A single message may exceed the size.
        """
        if self.bytes > UNSENT_BYTES_MAX and len(self.unsent) > 1:
            return f"the proxy has not read {self.bytes} bytes: limit {UNSENT_BYTES_MAX}"
        if self.unsent:
            age = now - self.unsent[0].queued_at
            if age > UNSENT_AGE_MAX_NS:
                return f"the proxy has not read the oldest order for {age / NS_PER_SECOND:.1f} s"
        return None

    def next_check(self):
        """Returns when to check the age again, ns; None: nothing is unsent."""
        return self.unsent[0].queued_at + UNSENT_AGE_MAX_NS + 1 if self.unsent else None

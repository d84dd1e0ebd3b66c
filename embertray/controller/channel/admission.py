"""Admission of streams: limits handshakes, backs off cut proxies, drains at shutdown; without I/O.

A proxy that reconnects at once and is cut again costs a complete table each time. So each cut doubles the
time for which the proxy is rejected; half of that time is random, so that proxies that were cut together do
not reconnect together.
"""

from typing import NamedTuple

NS_PER_SECOND = 10**9
NS_PER_MS = 10**6
HANDSHAKE_TIMEOUT_NS = 5 * NS_PER_SECOND  # over a proxy's longest known pause (2 s) and a slow connection
HANDSHAKES_MAX = 4096  # concurrent ones: four fleets that connect together; each takes 64 KiB
CUT_BACKOFF_FIRST_NS = NS_PER_SECOND // 4  # upper bound after the first cut
CUT_BACKOFF_MAX_NS = 16 * NS_PER_SECOND
CUT_DOUBLINGS_MAX = 10  # beyond CUT_BACKOFF_MAX_NS; keeps the shift small
CUT_BACKOFF_FIXED_SHARE = 0.5  # of the backoff; the rest is random
CUT_HISTORY_NS = 60 * NS_PER_SECOND  # without a cut, after which the count restarts
DRAIN_STEP_NS = NS_PER_SECOND // 20  # between two closed streams: each costs another controller a table
DRAIN_RETRY_AFTER_NS = 30 * NS_PER_SECOND  # sent to proxies that a draining controller rejects

# Codes of a rejection, as sent to the proxy.
LATER = "later"
DRAINING = "draining"


class Rejection(NamedTuple):
    """Why a stream is not admitted.

    Attributes:
        code: The code that is sent to the peer.
        text: The reason in words.
        retry_after: How long the peer is asked to wait before it reconnects, ns.
    """

    code: str
    text: str
    retry_after: int


class CutRecord(NamedTuple):
    """The recent cuts of one proxy.

    Attributes:
        count: Consecutive cuts, each within CUT_HISTORY_NS of the one before.
        cut_at: Time of the last one, ns.
        rejected_until: Time from which the proxy is admitted again, ns.
    """

    count: int
    cut_at: int
    rejected_until: int


class Admission:
    """Admits or rejects the streams of one controller.

    Args:
        random: A function that returns random numbers from 0 to 1.

    Attributes:
        handshakes: Number of streams that have not sent their hello yet.
        cuts: Proxy name -> CutRecord, the oldest cut first.
        draining: Time of the graceful shutdown's next step, ns; None: no shutdown.
    """

    def __init__(self, random):
        self.handshakes = 0
        self.cuts = {}
        self.draining = None
        self._random = random

    def stream_opened(self):
        """Admits a new stream to the handshake; `handshake_ended` must follow once if it is admitted.

        Returns:
            None, or the Rejection.
        """
        if self.handshakes >= HANDSHAKES_MAX:
            text = f"{HANDSHAKES_MAX} streams wait for their hello already"
            return Rejection(LATER, text, CUT_BACKOFF_FIRST_NS)
        self.handshakes += 1
        return None

    def handshake_ended(self):
        """Records the end of a handshake, successful or not."""
        self.handshakes -= 1

    def admit(self, now, name, memory_delay=None):
        """Admits or rejects a proxy that has sent its hello.

        Args:
            now: ns.
            name: The proxy's name.
            memory_delay: Retry delay if memory is short, ns; None: there is enough memory.

        Returns:
            None, or the Rejection.
        """
        if self.draining is not None:
            return Rejection(DRAINING, "this controller is being drained", DRAIN_RETRY_AFTER_NS)
        if memory_delay is not None:
            text = f"no memory for one more proxy, come back in {memory_delay / NS_PER_MS:.0f} ms"
            return Rejection(LATER, text, memory_delay)
        cut = self.cuts.get(name)
        if cut is not None and now < cut.rejected_until:
            remaining = cut.rejected_until - now
            return Rejection(LATER, f"cut lately, come back in {remaining / NS_PER_MS:.0f} ms", remaining)
        return None

    def record_cut(self, now, name):
        """Records that a proxy's stream was cut at `now` (ns), and starts its backoff."""
        previous = self.cuts.pop(name, None)
        recent = previous is not None and now - previous.cut_at <= CUT_HISTORY_NS
        count = previous.count + 1 if recent else 1
        backoff = min(CUT_BACKOFF_MAX_NS, CUT_BACKOFF_FIRST_NS << min(count - 1, CUT_DOUBLINGS_MAX))
        delay = backoff * (CUT_BACKOFF_FIXED_SHARE + (1 - CUT_BACKOFF_FIXED_SHARE) * self._random())
        self.cuts[name] = CutRecord(count, now, now + int(delay))
        self._expire_old_cuts(now)

    def _expire_old_cuts(self, now):
        while self.cuts:
            oldest = next(iter(self.cuts))
            if now - self.cuts[oldest].cut_at <= CUT_HISTORY_NS:
                return
            del self.cuts[oldest]

    def drain(self, now):
        """Begins a graceful shutdown at `now` (ns): rejects joins and closes the streams one by one."""
        if self.draining is None:
            self.draining = now

    def streams_to_close(self, now, streams):
        """Returns how many streams a graceful shutdown closes now.

        Args:
            now: ns.
            streams: Number of open streams.

        Returns:
            (number of streams to close now, time of the next call in ns or None: no further call).
        """
        if self.draining is None or not streams:
            return 0, None
        due = (now - self.draining) // DRAIN_STEP_NS + 1
        self.draining += due * DRAIN_STEP_NS
        return min(due, streams), self.draining

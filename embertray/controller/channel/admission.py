"""Which streams are admitted: bounds for handshakes, backoff for cut proxies, graceful shutdown; no I/O.

A cut proxy that connects at once and is cut again would cost a complete table each time. So it is asked to
stay away for a time that doubles with each cut, half of it at random, so that proxies that were cut together
do not come back together.
"""

from typing import NamedTuple

NS_PER_SECOND = 10**9
NS_PER_MS = 10**6
HANDSHAKE_TIMEOUT_NS = 5 * NS_PER_SECOND  # past any pause known of proxies (2 s) and a slow connection
HANDSHAKES_MAX = 4096  # streams without a hello at once: four fleets that connect together; 64 KiB each
CUT_BACKOFF_FIRST_NS = NS_PER_SECOND // 4  # after the first cut, at most
CUT_BACKOFF_MAX_NS = 16 * NS_PER_SECOND
CUT_DOUBLINGS_MAX = 10  # past the longest backoff already: keeps the shift small
CUT_BACKOFF_FIXED_SHARE = 0.5  # of the backoff; the rest is random
CUT_HISTORY_NS = 60 * NS_PER_SECOND  # without a cut, after which the count begins again
DRAIN_STEP_NS = NS_PER_SECOND // 20  # between two closed streams: each costs another controller a table
DRAIN_RETRY_AFTER_NS = 30 * NS_PER_SECOND  # for which a draining controller asks a proxy to stay away

# Codes of a rejection; they are on the wire.
LATER = "later"
DRAINING = "draining"


class Rejection(NamedTuple):
    """A stream is not admitted.

    Attributes:
        code: The code that the peer is sent.
        text: Why, in words.
        retry_after: How long the peer is asked to stay away, ns.
    """

    code: str
    text: str
    retry_after: int


class CutRecord(NamedTuple):
    """The cuts of one proxy.

    Attributes:
        count: Cuts without a CUT_HISTORY_NS between them.
        cut_at: The last one, ns.
        rejected_until: Until when the proxy is not admitted, ns.
    """

    count: int
    cut_at: int
    rejected_until: int


class Admission:
    """Admits or rejects the streams of one controller.

    Args:
        random: A function that gives numbers from 0 to 1.

    Attributes:
        handshakes: Streams without a hello.
        cuts: Proxy name -> CutRecord, the oldest cut first.
        draining: None, or the time to which the graceful shutdown has closed streams, ns.
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
        """Records the end of a handshake, whatever came of it."""
        self.handshakes -= 1

    def admit(self, now, name, memory_delay=None):
        """Admits a proxy that said hello.

        Args:
            now: ns.
            name: Its name.
            memory_delay: ns that it has to stay away for lack of memory; None: there is memory.

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
        """Records that a proxy's stream was cut at `now` (ns): its next one has to wait."""
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
        """Begins a graceful shutdown at `now` (ns): joins are rejected, streams closed one by one."""
        if self.draining is None:
            self.draining = now

    def streams_to_close(self, now, streams):
        """Paces a graceful shutdown.

        Args:
            now: ns.
            streams: How many are open.

        Returns:
            (how many of them are to be closed now, when to ask again in ns or None: never).
        """
        if self.draining is None or not streams:
            return 0, None
        due = (now - self.draining) // DRAIN_STEP_NS + 1
        self.draining += due * DRAIN_STEP_NS
        return min(due, streams), self.draining

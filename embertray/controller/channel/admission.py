"""Which streams are let in: strangers, proxies that were cut lately, an instance that is being drained; no
I/O.

A cut proxy that dials at once and is cut again would cost a whole table each time. So it stays away for a
while that doubles with each cut, and is told how long. Half of the delay is by chance, so that those cut
together do not come back together.
"""

from collections import namedtuple

S = 10**9
# -- constants: value, unit, reason
HANDSHAKE_TIMEOUT_NS = 5 * S  # ns; past any pause known of proxies (2 s) and a slow dial
HANDSHAKES_MAX = 4096  # streams without a hello at once: four fleets that dial together; each costs 64 KiB
CUT_BACKOFF_FIRST_NS, CUT_BACKOFF_MAX_NS = (
    S // 4,
    16 * S,
)  # ns; time to stay away after the first cut, and at the most
CUT_MEMORY_NS = 60 * S  # ns without a cut, after which the count starts again
DRAIN_STEP_NS = (
    S // 20
)  # ns between two streams closed by a drain: each costs another controller a whole table
DRAIN_RETRY_AFTER_NS = 30 * S  # ns; how long a draining instance asks a proxy to stay away

Rejection = namedtuple("Rejection", "code text retry_after")  # wait: ns that the peer is asked to stay away


class Admission:
    """`chance` gives numbers from 0 to 1; verdicts are None (let in) or a Rejection."""

    def __init__(self, chance):
        self.chance, self.handshakes, self.cuts, self.draining = chance, 0, {}, None

    def stream_opened(self):
        """A stream without a hello; `known` or `gone` must follow once."""
        if self.handshakes >= HANDSHAKES_MAX:
            return Rejection(
                "later", f"{HANDSHAKES_MAX} streams wait for their hello already", CUT_BACKOFF_FIRST_NS
            )
        self.handshakes += 1
        return None

    def handshake_ended(self):
        self.handshakes -= 1

    def admit(self, now, name, lack=None):
        """`lack`: ns to stay away for lack of memory, or None."""
        if lack is not None and self.draining is None:
            return Rejection("later", f"no memory for one more proxy, come back in {lack / 1e6:.0f} ms", lack)
        if self.draining is not None:
            return Rejection("draining", "this controller is being drained", DRAIN_RETRY_AFTER_NS)
        until = self.cuts.get(name, (0, 0, 0))[2]
        if now < until:
            wait = until - now
            return Rejection("later", f"cut lately, come back in {wait / 1e6:.0f} ms", wait)
        return None

    def record_cut(self, now, name):
        """This proxy's stream was cut: the next one has to wait."""
        count, at, _ = self.cuts.pop(name, (0, now, 0))
        count = 1 if now - at > CUT_MEMORY_NS else count + 1
        wait = min(CUT_BACKOFF_MAX_NS, CUT_BACKOFF_FIRST_NS << min(count - 1, 10))
        self.cuts[name] = count, now, now + int(wait * (0.5 + 0.5 * self.chance()))
        while (
            self.cuts and now - next(iter(self.cuts.values()))[1] > CUT_MEMORY_NS
        ):  # the oldest cut is first
            del self.cuts[next(iter(self.cuts))]

    def drain(self, now):
        if self.draining is None:
            self.draining = now

    def streams_to_close(self, now, streams):
        """How many of the streams there a drain closes by now, and when to ask again (None: never)."""
        if self.draining is None or not streams:
            return 0, None
        due = (now - self.draining) // DRAIN_STEP_NS + 1
        self.draining += due * DRAIN_STEP_NS
        return min(due, streams), self.draining

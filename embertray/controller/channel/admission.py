"""Which streams are let in: strangers, proxies that were cut lately, an instance that is being drained; no
I/O.

A cut proxy that dials at once and is cut again would cost a whole table each time. So it stays away for a
while that doubles with each cut, and is told how long. Half of the delay is by chance, so that those cut
together do not come back together.
"""

from collections import namedtuple

S = 10**9
# -- constants: value, unit, reason
HELLO_WITHIN = 5 * S  # ns; past any pause known of proxies (2 s) and a slow dial
STRANGERS = 4096  # streams without a hello at once: four fleets that dial together; each costs 64 KiB
AGAIN_FIRST, AGAIN_MOST = S // 4, 16 * S  # ns; time to stay away after the first cut, and at the most
CALM = 60 * S  # ns without a cut, after which the count starts again
DRAIN_STEP = S // 20  # ns between two streams closed by a drain: each costs another controller a whole table
LATER = 30 * S  # ns; how long a draining instance asks a proxy to stay away

Verdict = namedtuple("Verdict", "code text wait")  # wait: ns that the peer is asked to stay away


class Admission:
    """`chance` gives numbers from 0 to 1; verdicts are None (let in) or a Verdict."""

    def __init__(self, chance):
        self.chance, self.strangers, self.cuts, self.draining = chance, 0, {}, None

    def dialled(self):
        """A stream without a hello; `known` or `gone` must follow once."""
        if self.strangers >= STRANGERS:
            return Verdict("later", f"{STRANGERS} streams wait for their hello already", AGAIN_FIRST)
        self.strangers += 1
        return None

    def gone(self):
        self.strangers -= 1

    def hello(self, now, name, lack=None):
        """`lack`: ns to stay away for lack of memory, or None."""
        if lack is not None and self.draining is None:
            return Verdict("later", f"no memory for one more proxy, come back in {lack / 1e6:.0f} ms", lack)
        if self.draining is not None:
            return Verdict("draining", "this controller is being drained", LATER)
        until = self.cuts.get(name, (0, 0, 0))[2]
        if now < until:
            wait = until - now
            return Verdict("later", f"cut lately, come back in {wait / 1e6:.0f} ms", wait)
        return None

    def cut(self, now, name):
        """This proxy's stream was cut: the next one has to wait."""
        count, at, _ = self.cuts.pop(name, (0, now, 0))
        count = 1 if now - at > CALM else count + 1
        wait = min(AGAIN_MOST, AGAIN_FIRST << min(count - 1, 10))
        self.cuts[name] = count, now, now + int(wait * (0.5 + 0.5 * self.chance()))
        while self.cuts and now - next(iter(self.cuts.values()))[1] > CALM:  # the oldest cut is first
            del self.cuts[next(iter(self.cuts))]

    def drain(self, now):
        if self.draining is None:
            self.draining = now

    def to_close(self, now, streams):
        """How many of the streams there a drain closes by now, and when to ask again (None: never)."""
        if self.draining is None or not streams:
            return 0, None
        due = (now - self.draining) // DRAIN_STEP + 1
        self.draining += due * DRAIN_STEP
        return min(due, streams), self.draining

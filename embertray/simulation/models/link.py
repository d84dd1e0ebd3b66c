"""The conditions of one directed link: what it does to the datagrams and streams that pass it.

Shares are from 0 to 1, times in ns. All draws come from the link's own generator, so a seed repeats them.
"""

import random
from dataclasses import dataclass

NS_PER_MS = 10**6
RETRANSMISSION_DELAY_NS = 200 * NS_PER_MS  # until a system first retransmits a lost part of a stream
UNIMPAIRED = {"open": True, "drop": 0.0, "duplicated": 0.0, "delay": 0, "jitter": 0}


@dataclass
class DirectedLink:
    """The link from one process to another.

    Attributes:
        rng: A random.Random.
        open: False loses datagrams and holds streams silent, as a machine that is cut off does.
        drop: The share of datagrams that are lost, and of parts of a stream that are sent again.
        duplicated: The share of datagrams that arrive twice.
        delay: The least delay, ns.
        jitter: The most that is added to the delay, ns.
        passed: How many datagrams arrived.
        lost: How many were lost.
        changed_at: When the conditions were last changed, ns.
    """

    rng: random.Random
    open: bool = True
    drop: float = 0.0
    duplicated: float = 0.0
    delay: int = 0
    jitter: int = 0
    passed: int = 0
    lost: int = 0
    changed_at: int = 0

    @property
    def is_unimpaired(self):
        """Whether all conditions have their initial values."""
        return all(getattr(self, name) == value for name, value in UNIMPAIRED.items())

    def set(self, now, **conditions):
        """Sets some conditions at `now`, ns."""
        for name, value in conditions.items():
            setattr(self, name, value)
        self.changed_at = now

    def heal(self, now, names=tuple(UNIMPAIRED)):
        """Resets the named conditions at `now`, ns; all by default."""
        self.set(now, **{name: UNIMPAIRED[name] for name in names})

    def draw_delay(self):
        """Draws a delay, ns."""
        return self.delay + (self.rng.randrange(self.jitter) if self.jitter else 0)

    def copy_delays(self):
        """Draws the delay of each copy of a datagram that arrives, ns; an empty list if it is lost.

        Jitter greater than the gaps between datagrams reorders them.
        """
        if not self.open or self.rng.random() < self.drop:
            self.lost += 1
            return []
        self.passed += 1
        return [self.draw_delay() for _ in range(2 if self.rng.random() < self.duplicated else 1)]

    def stream_delay(self):
        """Draws the delay of a part of a stream, ns; the caller keeps the stream's order."""
        return self.draw_delay() + (
            RETRANSMISSION_DELAY_NS if self.drop and self.rng.random() < self.drop else 0
        )

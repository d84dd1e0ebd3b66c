"""What a link does to what passes it, in one direction. Shares from 0 to 1, times ns; `chance` makes it the
same each time.
"""

import random
from dataclasses import dataclass

MS = 10**6
RETRANSMISSION_DELAY_NS = 200 * MS  # a system's first time to send a lost part of a stream again
UNIMPAIRED = {"open": True, "drop": 0.0, "duplicated": 0.0, "delay": 0, "jitter": 0}


@dataclass
class DirectedLink:
    """One ordered pair of processes. `open`: False loses datagrams and holds streams silent, as a machine cut
    off does. `at`: when it was last bent or made straight."""

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
        return all(getattr(self, name) == value for name, value in UNIMPAIRED.items())

    def set(self, now, **conditions):
        for name, value in conditions.items():
            setattr(self, name, value)
        self.changed_at = now

    def heal(self, now, names=tuple(UNIMPAIRED)):
        self.set(now, **{name: UNIMPAIRED[name] for name in names})

    def draw_delay(self):
        return self.delay + (self.rng.randrange(self.jitter) if self.jitter else 0)

    def copy_delays(self):
        """ns to hold back each copy of a datagram that arrives; none if it is lost. Jitter past the gaps
        reorders them.
        """
        if not self.open or self.rng.random() < self.drop:
            self.lost += 1
            return []
        self.passed += 1
        return [self.draw_delay() for _ in range(2 if self.rng.random() < self.duplicated else 1)]

    def stream_delay(self):
        """ns to hold back a part of a stream, which keeps its order."""
        return self.draw_delay() + (
            RETRANSMISSION_DELAY_NS if self.drop and self.rng.random() < self.drop else 0
        )

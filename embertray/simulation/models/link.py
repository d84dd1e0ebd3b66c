"""What a link does to what passes it, in one direction. Shares from 0 to 1, times ns; `chance` makes it the
same each time.
"""

import random
from dataclasses import dataclass

MS = 10**6
RESEND = 200 * MS  # ns that a lost part of a stream comes later: a system's first time to send again
STRAIGHT = {"open": True, "drop": 0.0, "again": 0.0, "delay": 0, "jitter": 0}


@dataclass
class Way:
    """One ordered pair of processes. `open`: False loses datagrams and holds streams silent, as a machine cut
    off does. `at`: when it was last bent or made straight."""

    chance: random.Random
    open: bool = True
    drop: float = 0.0
    again: float = 0.0
    delay: int = 0
    jitter: int = 0
    passed: int = 0
    lost: int = 0
    at: int = 0

    @property
    def straight(self):
        return all(getattr(self, name) == value for name, value in STRAIGHT.items())

    def set(self, now, **how):
        for name, value in how.items():
            setattr(self, name, value)
        self.at = now

    def heal(self, now, names=tuple(STRAIGHT)):
        self.set(now, **{name: STRAIGHT[name] for name in names})

    def late(self):
        return self.delay + (self.chance.randrange(self.jitter) if self.jitter else 0)

    def copies(self):
        """ns to hold back each copy of a datagram that arrives; none if it is lost. Jitter past the gaps
        reorders them.
        """
        if not self.open or self.chance.random() < self.drop:
            self.lost += 1
            return []
        self.passed += 1
        return [self.late() for _ in range(2 if self.chance.random() < self.again else 1)]

    def hold(self):
        """ns to hold back a part of a stream, which keeps its order."""
        return self.late() + (RESEND if self.drop and self.chance.random() < self.drop else 0)

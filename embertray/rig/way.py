"""What a link does to what passes it. Shares from 0 to 1, times ns; `seed` makes it the same each time."""
import random
from dataclasses import dataclass

MS = 10**6


@dataclass
class Way:
    """One ordered pair of processes. `open`: False loses datagrams and holds streams silent, as a machine cut off does."""
    chance: random.Random
    open: bool = True
    drop: float = 0.0
    again: float = 0.0
    delay: int = 0
    jitter: int = 0
    passed: int = 0
    lost: int = 0

    def copies(self):
        """ns to hold back each copy of a datagram that arrives; none if it is lost. Jitter past the gaps reorders them."""
        if not self.open or self.chance.random() < self.drop:
            self.lost += 1
            return []
        self.passed += 1
        count = 2 if self.chance.random() < self.again else 1
        return [self.delay + (self.chance.randrange(self.jitter) if self.jitter else 0) for _ in range(count)]

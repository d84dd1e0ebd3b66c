"""Selection of the replica that a subscriber follows."""

MAX_BACKOFF_DOUBLINGS = 8
NEVER_NS = 2**62  # later than any clock reading


class ReplicaSelector:
    """Chooses one replica of an ordered list, with backoff and failback.

    When a replica fails, the next one is tried at once; when all have failed, there is a pause that doubles
    each time. A subscriber of another replica than the first, which is in its own region, tries the first one
    again after a while. Every connection attempt has random jitter, so that the subscribers of a dead replica
    do not all reach the next one at the same time.

    Args:
        replicas: names of the replicas, in order of preference.
        now: current time, ns.
        rng: a random.Random.
        timing: a SubscriberTiming.

    Attributes:
        connect_at: ns when to connect to the current replica.
        connected_at: ns when the current connection was established.
    """

    def __init__(self, replicas, now, rng, timing):
        self.replicas = list(replicas)
        self.rng = rng
        self.timing = timing
        self.index = 0
        self.failures = 0  # since a replica was last found fresh
        self.stale_moves = 0  # replicas left as stale since one was last found fresh
        self.connect_at = now
        self.connected_at = now

    @property
    def current(self):
        """Name of the replica that is followed or being connected to."""
        return self.replicas[self.index]

    def on_connected(self, now):
        """Records that the connection to the current replica was established at `now` (ns)."""
        self.connected_at = now

    def mark_fresh(self):
        """Records that the current replica is in contact with a majority."""
        self.failures = 0
        self.stale_moves = 0

    def select_next(self, now):
        """Selects the next replica and the time to connect to it."""
        self.failures += 1
        self.index = (self.index + 1) % len(self.replicas)
        rounds, rest = divmod(self.failures, len(self.replicas))
        pause = 0 if rest else self._backoff(rounds)
        self.connect_at = now + pause + self._jitter()

    def _backoff(self, rounds):
        """Time in ns to pause after all replicas have failed `rounds` times."""
        doublings = min(rounds - 1, MAX_BACKOFF_DOUBLINGS)
        return min(self.timing.initial_retry_delay << doublings, self.timing.max_retry_delay)

    def _jitter(self):
        return self.rng.randrange(self.timing.initial_retry_delay)

    def should_leave_stale(self, now):
        """Decides whether to leave the current replica, which is cut off from the majority.

        Once all replicas were found stale, each is kept for a while: switching would only cost connections.
        """
        all_stale = self.stale_moves >= len(self.replicas)
        if all_stale and now - self.connected_at < self.timing.stale_after:
            return False
        self.stale_moves += 1
        return True

    @property
    def failback_at(self):
        """Time in ns to fail back to the first replica; NEVER_NS if it is the current one."""
        return self.connected_at + self.timing.failback_delay if self.index else NEVER_NS

    def fail_back(self, now):
        """Selects the first replica again."""
        self.index = 0
        self.connect_at = now + self._jitter()

"""Which replica a subscriber follows, and when it tries the next one."""

MAX_BACKOFF_DOUBLINGS = 8
NEVER_NS = 2**62  # ns


class ReplicaSelector:
    """An ordered list of replicas, of which one is followed or tried.

    Rule: a replica that fails is left for the next one at once; when all have failed, there is a pause that
    doubles. Away from the first replica, which is of the subscriber's own region, that one is tried again
    after a while. Every pause has a random part, so that the subscribers of a dead replica do not all arrive
    at the next one at once.

    Args:
        replicas: names in the order of preference.
        now: ns.
        rng: a random.Random.
        timing: a SubscriberTiming.

    Attributes:
        connect_at: ns when the replica is to be connected to.
        connected_at: ns when the present connection came up.
    """

    def __init__(self, replicas, now, rng, timing):
        self.replicas = list(replicas)
        self.rng = rng
        self.timing = timing
        self.index = 0
        self.failures = 0  # since a replica last answered and was fresh
        self.stale_moves = 0  # replicas left as stale since the last fresh one
        self.connect_at = now
        self.connected_at = now

    @property
    def current(self):
        """Name of the replica that is followed or tried."""
        return self.replicas[self.index]

    def on_connected(self, now):
        """The connection to the current replica came up at `now` (ns)."""
        self.connected_at = now

    def mark_fresh(self):
        """The current replica is in contact with the majority."""
        self.failures = 0
        self.stale_moves = 0

    def select_next(self, now):
        """Chooses the next replica, and when to connect to it."""
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
        """Whether the current replica, which is cut off from the majority, is to be left.

        Once all replicas were found stale, each is kept a while: moving on would only cost connections.
        """
        all_stale = self.stale_moves >= len(self.replicas)
        if all_stale and now - self.connected_at < self.timing.stale_after:
            return False
        self.stale_moves += 1
        return True

    @property
    def failback_at(self):
        """Time in ns when the first replica is tried again, if another one is followed."""
        return self.connected_at + self.timing.failback_delay if self.index else NEVER_NS

    def fail_back(self, now):
        """Chooses the first replica again."""
        self.index = 0
        self.connect_at = now + self._jitter()

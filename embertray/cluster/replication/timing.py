"""Timeouts, intervals and rates of replicas, feeds and subscribers."""

from dataclasses import dataclass

MILLISECOND = 10**6  # ns
SECOND = 10**9  # ns


@dataclass(frozen=True)
class ReplicaTiming:
    """Timing between replicas, ns.

    Attributes:
        heartbeat_interval: between a leader's heartbeats; three fit into election_timeout_min.
        election_timeout_min: lower bound of the election timeout.
        election_timeout_max: upper bound; the timeout is drawn at random each time, so that candidates
            rarely tie.
        recovery_wait: how long a replica that started without its state waits for votes of its previous
            process to expire; twice election_timeout_max.
    """

    heartbeat_interval: int = 400 * MILLISECOND
    election_timeout_min: int = 1_500 * MILLISECOND
    election_timeout_max: int = 3_000 * MILLISECOND
    recovery_wait: int = 6_000 * MILLISECOND

    @property
    def quorum_timeout(self):
        """Time in ns after which a leader that no majority has confirmed accepts no writes.

        It equals the minimum election timeout: before that, no other leader can have been elected.
        """
        return self.election_timeout_min

    def election_timeout(self, rng):
        """Draws an election timeout in ns from `rng`, a random.Random."""
        return rng.randrange(self.election_timeout_min, self.election_timeout_max)


@dataclass(frozen=True)
class FeedSettings:
    """What a replica sends to its subscribers, and when.

    Attributes:
        heartbeat_interval: ns between heartbeats to a subscriber, which carry the age and the digest.
        initial_retry_delay: ns after which an unconfirmed update is sent again; doubled each time.
        max_retry_delay: upper bound of the retry delay, ns.
        min_update_bytes: smallest update that is sent while more entries wait; small enough to spread the
            traffic evenly over time.
        silence_timeout: ns after which a subscriber that sends nothing is dropped.
        bytes_per_second: budget of one subscriber, averaged over ten seconds; set by the operators.
        total_bytes_per_second: budget of one replica; the default serves 100 subscribers at their full rate.
    """

    heartbeat_interval: int = 1 * SECOND
    initial_retry_delay: int = 1 * SECOND
    max_retry_delay: int = 8 * SECOND
    min_update_bytes: int = 2_000
    silence_timeout: int = 10 * SECOND
    bytes_per_second: int = 4_000
    total_bytes_per_second: int = 400_000

    @property
    def sustained_bytes_per_second(self):
        """Refill rate of a subscriber's token bucket, bytes per second.

        Together with `burst_bytes` it keeps any ten seconds within the budget.
        """
        return self.bytes_per_second * 3 // 4

    @property
    def burst_bytes(self):
        """Capacity of a subscriber's token bucket and upper limit of an update, bytes."""
        return self.bytes_per_second * 2

    @property
    def max_value_bytes(self):
        """Largest accepted value, bytes: an entry has to fit into one update."""
        return self.burst_bytes - 1_024


@dataclass(frozen=True)
class SubscriberTiming:
    """Timing of a subscriber, ns.

    Attributes:
        connect_timeout: after which a connection attempt is given up.
        silence_timeout: after which a replica that sends nothing is left; three heartbeats.
        stale_after: age at which a replica counts as cut off from the majority and is left. Most elections
            take less; their bound is `Bounds.election`.
        initial_retry_delay: pause once all replicas have failed, doubled each time; also the maximum jitter
            of each connection attempt.
        max_retry_delay: upper bound of that pause.
        failback_delay: time at another replica after which the preferred one is tried again.
    """

    connect_timeout: int = 1 * SECOND
    silence_timeout: int = 3 * SECOND
    stale_after: int = 6 * SECOND
    initial_retry_delay: int = 200 * MILLISECOND
    max_retry_delay: int = 3 * SECOND
    failback_delay: int = 30 * SECOND


@dataclass(frozen=True)
class NetworkAssumptions:
    """Delays of a fault-free network and disk that `propagation_bounds` assumes, ns.

    Attributes:
        one_way_delay: one-way delay of a message, also between regions.
        save_delay: time until a replica's state is on disk.
    """

    one_way_delay: int = 100 * MILLISECOND
    save_delay: int = 200 * MILLISECOND

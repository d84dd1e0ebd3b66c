"""Timeouts, intervals and rates of replicas, feeds and subscribers: value, unit, reason."""

from dataclasses import dataclass

MILLISECOND = 10**6  # ns
SECOND = 10**9  # ns


@dataclass(frozen=True)
class ReplicaTiming:
    """Timing between replicas, ns.

    Attributes:
        heartbeat_interval: of a leader; three fit into the shortest election timeout.
        election_timeout_min: a follower waits so long for its leader at the least.
        election_timeout_max: and at the most; drawn anew each time, so that candidates rarely tie.
        recovery_wait: a replica without its state votes for nobody; twice election_timeout_max.
    """

    heartbeat_interval: int = 400 * MILLISECOND
    election_timeout_min: int = 1_500 * MILLISECOND
    election_timeout_max: int = 3_000 * MILLISECOND
    recovery_wait: int = 6_000 * MILLISECOND

    @property
    def quorum_timeout(self):
        """Time in ns; a leader that no majority confirmed for so long accepts no write.

        It is the shortest election timeout: before it is over, no other leader can have been elected.
        """
        return self.election_timeout_min

    def election_timeout(self, rng):
        """Draws a timeout in ns from `rng`, a random.Random."""
        return rng.randrange(self.election_timeout_min, self.election_timeout_max)


@dataclass(frozen=True)
class FeedSettings:
    """What a replica sends to its subscribers, and when.

    Attributes:
        heartbeat_interval: ns between two to a subscriber; age and digest let it judge what it holds.
        initial_retry_delay: ns after which an update that is not confirmed is sent again, doubled each time.
        max_retry_delay: ns, the most that this becomes.
        min_update_bytes: bytes of one update while more waits; small enough to be spread evenly over time.
        silence_timeout: ns after which a subscriber that sends nothing is dropped.
        bytes_per_second: of one subscriber, averaged over ten seconds; the operators' budget.
        total_bytes_per_second: of one replica; a hundred subscribers at their full rate.
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
        """Refill rate of a subscriber's token bucket, bytes a second.

        With `burst_bytes`, any ten seconds stay under the budget.
        """
        return self.bytes_per_second * 3 // 4

    @property
    def burst_bytes(self):
        """Capacity of a subscriber's token bucket in bytes, and the most that one update may carry."""
        return self.bytes_per_second * 2

    @property
    def max_value_bytes(self):
        """Size of the largest value that is accepted: one entry has to fit into one update."""
        return self.burst_bytes - 1_024


@dataclass(frozen=True)
class SubscriberTiming:
    """Timing of a subscriber, ns.

    Attributes:
        connect_timeout: after which an attempt to connect is given up.
        silence_timeout: a replica that sends nothing for so long is left; three heartbeats.
        stale_after: a replica apart from the majority for so long is left. Most elections end sooner; the
            bound is `Bounds.election`.
        initial_retry_delay: pause before the next replica is tried, doubled each time all were tried.
        max_retry_delay: the most that this becomes.
        failback_delay: after so long at another replica the first one is tried again.
    """

    connect_timeout: int = 1 * SECOND
    silence_timeout: int = 3 * SECOND
    stale_after: int = 6 * SECOND
    initial_retry_delay: int = 200 * MILLISECOND
    max_retry_delay: int = 3 * SECOND
    failback_delay: int = 30 * SECOND


@dataclass(frozen=True)
class NetworkAssumptions:
    """What the stated bounds assume of links that are good, ns.

    Attributes:
        one_way_delay: a message's way, regions included.
        save_delay: until a replica's state is on disk.
    """

    one_way_delay: int = 100 * MILLISECOND
    save_delay: int = 200 * MILLISECOND

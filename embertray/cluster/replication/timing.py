"""Timeouts, intervals and rates of replicas, feeds and subscribers: value, unit, reason."""

from dataclasses import dataclass

MS = 10**6  # ns
S = 10**9  # ns


@dataclass(frozen=True)
class ReplicaTiming:
    """Timing between replicas, ns."""

    heartbeat: int = 400 * MS  # of a leader: three fit into the shortest election timeout
    election_least: int = 1_500 * MS  # a follower waits so long for its leader at the least
    election_most: int = 3_000 * MS  # and at the most; drawn anew each time, so that candidates rarely tie
    recovery_silence: int = 6_000 * MS  # a replica without its state votes for nobody: twice election_most

    @property
    def quorum_timeout(self):
        """ns; a leader that no majority confirmed for so long accepts no write."""
        return self.election_least

    def election_timeout(self, rng):
        """Draws a timeout in ns from `rng`, a random.Random."""
        return rng.randrange(self.election_least, self.election_most)


@dataclass(frozen=True)
class FeedSettings:
    """What a replica sends to its subscribers, and when.

    Times in ns, sizes in bytes, rates in bytes a second.
    """

    heartbeat: int = 1 * S  # to each subscriber; its age and digest let a subscriber judge what it holds
    retry_first: int = 1 * S  # an update that is not confirmed goes again, later each time
    retry_most: int = 8 * S
    chunk: int = 2_000  # bytes of one update while more waits: small enough to be paced evenly
    silence: int = 10 * S  # a subscriber that says nothing for so long is dropped
    bytes_per_second: int = 4_000  # of one subscriber, averaged over ten seconds: the operators' budget
    total_bytes_per_second: int = 400_000  # of one replica: a hundred subscribers at their full rate

    @property
    def sustained(self):
        """Refill rate of a subscriber's token bucket, bytes a second.

        With `burst`, any ten seconds stay under the budget.
        """
        return self.bytes_per_second * 3 // 4

    @property
    def burst(self):
        """Bytes: capacity of a subscriber's token bucket, and the most that one update may carry."""
        return self.bytes_per_second * 2

    @property
    def max_value_bytes(self):
        """Bytes of a value that is accepted: one entry has to fit into one update."""
        return self.burst - 1_024


@dataclass(frozen=True)
class SubscriberTiming:
    """Timing of a subscriber, ns."""

    dial: int = 1 * S  # until a connection that does not come up is given up
    silence: int = 3 * S  # a replica that says nothing for so long is left: three heartbeats
    stale: int = 6 * S  # a replica apart from the majority for so long is left: an election takes under 5
    retry_first: int = 200 * MS  # pause before the next replica is tried, doubled each time all were tried
    retry_most: int = 3 * S
    return_home: int = 30 * S  # after so long at another replica the first one is tried again


@dataclass(frozen=True)
class NetworkAssumptions:
    """What the stated bounds assume of links that are good, ns."""

    one_way: int = 100 * MS  # a message's way, regions included
    save: int = 200 * MS  # until a replica's state is on disk

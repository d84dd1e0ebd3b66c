"""Times, sizes and rates of the control plane, in one place: value, unit, reason."""

from dataclasses import dataclass

MS, S = 10**6, 10**9

KEYS_MOST = 16_384  # live keys; four times the target's routes: more is a client that runs away
HISTORY = 8  # former versions kept for each key, so that a rollback finds them
REMOVALS_KEPT = 1_024  # newest removals remembered; who lags further behind is repaired by digest
REQUESTS_KEPT = 4_096  # newest request ids remembered against repeated calls
STATE_BYTES_MOST = 8 << 20  # bytes of all versions kept; a write that would pass it is refused
PROPOSALS_MOST = 64  # writes that wait for a majority; further ones are refused
BUCKETS = 64  # parts of the key space that are compared by digest: 4,000 keys make 63 each


@dataclass(frozen=True)
class ReplicaTiming:
    """Times between replicas, ns."""

    heartbeat: int = 400 * MS  # of a leader: three fit into the shortest election timeout
    election_least: int = 1_500 * MS  # a follower waits so long for its leader at the least
    election_most: int = 3_000 * MS  # and at the most; drawn anew each time, so that candidates rarely tie
    recovery_silence: int = 6_000 * MS  # a replica without its state votes for nobody: twice election_most

    @property
    def quorum_within(self):
        """A leader that no majority confirmed for so long takes no write."""
        return self.election_least

    def election_timeout(self, chance):
        """A timeout drawn from `chance`, a random.Random."""
        return chance.randrange(self.election_least, self.election_most)


@dataclass(frozen=True)
class FeedSettings:
    """What a replica sends to its subscribers, and when. Times in ns, rates in bytes a second."""

    heartbeat: int = 1 * S  # to each subscriber; its age and digest let a subscriber judge what it holds
    retry_first: int = 1 * S  # an update that is not confirmed goes again, later each time
    retry_most: int = 8 * S
    chunk: int = 2_000  # bytes of one update while more waits: small enough to be paced evenly
    silence: int = 10 * S  # a subscriber that says nothing for so long is dropped
    bytes_per_second: int = 4_000  # of one subscriber, averaged over ten seconds: the operators' budget
    total_bytes_per_second: int = 400_000  # of one replica: a hundred subscribers at their full rate

    @property
    def sustained(self):
        """Refill rate of a subscriber's token bucket: with `burst`, ten seconds stay under the budget."""
        return self.bytes_per_second * 3 // 4

    @property
    def burst(self):
        """Capacity of a subscriber's token bucket, and the most that one update may carry."""
        return self.bytes_per_second * 2

    @property
    def value_most(self):
        """Bytes of a value that is accepted: one entry has to fit into one update."""
        return self.burst - 1_024


@dataclass(frozen=True)
class SubscriberTiming:
    """A subscriber's times, ns."""

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

"""Guaranteed bounds on the time until a subscriber has applied a committed write.

The bounds assume that, without faults, messages arrive within `NetworkAssumptions.one_way_delay` and saves
take `save_delay`. A bound counts from the write's acknowledgement or the end of the last fault, whichever is
later. Bytes queued ahead of a write add their transmission time at the subscriber's sustained rate.
"""

from dataclasses import dataclass

from .timing import MILLISECOND, SECOND, FeedSettings, NetworkAssumptions, ReplicaTiming, SubscriberTiming

PROCESSING_DELAY_NS = 100 * MILLISECOND  # until a process handles a received message


@dataclass(frozen=True)
class Bounds:
    """Bounds for different fault conditions, all in ns.

    Attributes:
        replica: a ReplicaTiming.
        feed: a FeedSettings.
        subscriber: a SubscriberTiming.
        network: the NetworkAssumptions.
    """

    replica: ReplicaTiming = ReplicaTiming()
    feed: FeedSettings = FeedSettings()
    subscriber: SubscriberTiming = SubscriberTiming()
    network: NetworkAssumptions = NetworkAssumptions()

    @property
    def message_delay(self):
        """Time from sending a message until it has been handled, ns."""
        return self.network.one_way_delay + PROCESSING_DELAY_NS

    @property
    def good(self):
        """Bound without any fault, ns.

        The commit is sent to the followers, which save it and send it to their subscribers. It may have to
        wait for the confirmation of an update in flight, or for a subscriber that fails back.
        """
        followers_saved = self.message_delay + self.network.save_delay
        failback = self.subscriber.initial_retry_delay + 3 * self.message_delay
        return followers_saved + 3 * self.message_delay + failback

    @property
    def election(self):
        """From a leader's failure until the next leader has committed, ns; allows for one failed election."""
        vote_rounds = 2 * (2 * self.message_delay + self.network.save_delay)
        first_commit = 2 * (self.message_delay + self.network.save_delay)
        return 2 * self.replica.election_timeout_max + vote_rounds + first_commit

    @property
    def replica_switch(self):
        """From leaving one replica to the first heartbeat of the next one, ns."""
        return self.subscriber.initial_retry_delay + self.subscriber.connect_timeout + 2 * self.message_delay

    def replicas_dead(self, dead, listed=3):
        """Bound when replicas have died, among them the leader and the one that the subscriber follows.

        The subscriber detects the silence and switches to the next live replica while the election runs.

        Args:
            dead: number of the subscriber's replicas that are dead.
            listed: number of replicas that the subscriber knows.

        Returns:
            ns.
        """
        switch = self.subscriber.silence_timeout + min(dead, listed - 1) * self.replica_switch
        return max(switch, self.election) + self.feed.heartbeat_interval + self.good

    @property
    def any_fault(self):
        """Bound after the end of arbitrary faults, ns.

        A majority of the replicas can reach each other again, and the subscriber one of them. The bound
        covers an election, followed by a round of the subscriber through all replicas that were stale.
        """
        stale_visit = self.subscriber.stale_after + self.feed.heartbeat_interval + self.replica_switch
        pause = self.subscriber.max_retry_delay + self.replica_switch
        return (
            self.election
            + stale_visit
            + 2 * self.replica_switch
            + pause
            + self.feed.max_retry_delay
            + self.good
        )

    def waiting(self, size):
        """Time in ns that a write waits behind `size` queued bytes, at a subscriber's sustained rate."""
        return size * SECOND // self.feed.sustained_bytes_per_second

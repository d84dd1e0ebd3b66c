"""The stated bounds: when a committed write is in force at a subscriber.

All assume messages that arrive within `NetworkAssumptions.one_way_delay` and saves within its `save_delay`,
once links are good. A bound counts from the write's acknowledgement or from the end of the last fault,
whichever is later. Bytes that wait before a write add their time at the subscriber's sustained rate.
"""

from dataclasses import dataclass

from .timing import MILLISECOND, SECOND, FeedSettings, NetworkAssumptions, ReplicaTiming, SubscriberTiming

PROCESSING_DELAY_NS = 100 * MILLISECOND  # ns until a process gets to a message


@dataclass(frozen=True)
class Bounds:
    """Bounds by what happened last, all in ns.

    Attributes:
        replica: timing between replicas.
        feed: what replicas send to subscribers, and when.
        subscriber: timing of the subscriber.
        network: what is assumed of links and disks.
    """

    replica: ReplicaTiming = ReplicaTiming()
    feed: FeedSettings = FeedSettings()
    subscriber: SubscriberTiming = SubscriberTiming()
    network: NetworkAssumptions = NetworkAssumptions()

    @property
    def message_delay(self):
        """One message, from a process to what the next one does with it, ns."""
        return self.network.one_way_delay + PROCESSING_DELAY_NS

    @property
    def good(self):
        """Nothing fails, ns.

        The commit goes to the followers, who save it and send it to their subscribers. It may have to wait
        for the confirmation of an update under way, or for a subscriber that returns to its first replica.
        """
        followers_saved = self.message_delay + self.network.save_delay
        failback = self.subscriber.initial_retry_delay + 3 * self.message_delay
        return followers_saved + 3 * self.message_delay + failback

    @property
    def election(self):
        """From a leader's death until the next one has committed, ns; one election may have no winner."""
        rounds = 2 * (2 * self.message_delay + self.network.save_delay)
        opening = 2 * (self.message_delay + self.network.save_delay)
        return 2 * self.replica.election_timeout_max + rounds + opening

    @property
    def replica_switch(self):
        """From leaving one replica to the first heartbeat of the next, ns."""
        return self.subscriber.initial_retry_delay + self.subscriber.connect_timeout + 2 * self.message_delay

    def replicas_dead(self, dead, listed=3):
        """Some replicas are dead, among them the leader and the one that the subscriber follows.

        The subscriber notices the silence and moves on to the next that lives, while the election runs.

        Args:
            dead: how many of the subscriber's replicas are dead.
            listed: how many replicas the subscriber knows.

        Returns:
            ns.
        """
        notice = self.subscriber.silence_timeout + min(dead, listed - 1) * self.replica_switch
        return max(notice, self.election) + self.feed.heartbeat_interval + self.good

    @property
    def any_fault(self):
        """After any faults, once they have ended, ns.

        A majority of the replicas reach each other, and the subscriber reaches one of them: elections, then a
        round of all replicas that were found stale.
        """
        visit = self.subscriber.stale_after + self.feed.heartbeat_interval + self.replica_switch
        pause = self.subscriber.max_retry_delay + self.replica_switch
        return self.election + visit + 2 * self.replica_switch + pause + self.feed.max_retry_delay + self.good

    def waiting(self, size):
        """Time in ns that a write waits behind `size` bytes, at a subscriber's sustained rate."""
        return size * SECOND // self.feed.sustained_bytes_per_second

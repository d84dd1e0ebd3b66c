"""The stated bounds: when a committed write is in force at a subscriber, and what its age promises.

All assume messages that arrive within `NetworkAssumptions.one_way` and saves within `NetworkAssumptions.save` once links are good.
A bound counts from the write's acknowledgement or from the end of the last fault, whichever is later. Bytes
that wait in front of a write add their time at the subscriber's sustained rate.
"""

from dataclasses import dataclass

from .timing import MS, FeedSettings, NetworkAssumptions, ReplicaTiming, SubscriberTiming

PROCESSING = 100 * MS  # ns that a process may take to get to a message


@dataclass(frozen=True)
class Bounds:
    """Bounds by what happened last, ns."""

    replica: ReplicaTiming = ReplicaTiming()
    feed: FeedSettings = FeedSettings()
    subscriber: SubscriberTiming = SubscriberTiming()
    network: NetworkAssumptions = NetworkAssumptions()

    @property
    def message(self):
        """One message, from a process to what the next one does with it."""
        return self.network.one_way + PROCESSING

    @property
    def good(self):
        """Nothing fails: the commit goes to the followers, who save it, tell their subscribers and may have
        to wait for the confirmation of an update under way, or for one that goes back to its first
        replica."""
        told = self.message + self.network.save
        return_home = self.subscriber.retry_first + 3 * self.message
        return told + 3 * self.message + return_home

    @property
    def election(self):
        """A leader is gone, until another one has committed: one election that nobody wins is allowed for."""
        rounds = 2 * (2 * self.message + self.network.save)
        opening = 2 * (self.message + self.network.save)
        return 2 * self.replica.election_most + rounds + opening

    @property
    def move(self):
        """From leaving one replica to the first heartbeat of the next."""
        return self.subscriber.retry_first + self.subscriber.dial + 2 * self.message

    def replicas_dead(self, dead, listed=3):
        """`dead` of a subscriber's `listed` replicas are dead, among them the leader and the one it follows:
        it notices the silence and goes on to the next that lives. The election runs at the same time."""
        notice = self.subscriber.silence + min(dead, listed - 1) * self.move
        return max(notice, self.election) + self.feed.heartbeat + self.good

    @property
    def any_fault(self):
        """After any faults whatever, once they have ended: a majority of the replicas reach each other, and
        the subscriber reaches one of them. Elections, then a round of all replicas that were found stale."""
        visit = self.subscriber.stale + self.feed.heartbeat + self.move
        pause = self.subscriber.retry_most + self.move
        return self.election + visit + 2 * self.move + pause + self.feed.retry_most + self.good

    def waiting(self, size):
        """`size` bytes go before, at a subscriber's sustained rate."""
        return size * 10**9 // self.feed.sustained

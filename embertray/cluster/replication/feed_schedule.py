"""Which subscribers a feed has to look at: its cost follows what happens, not the number of subscribers."""

from heapq import heappop, heappush


class FeedSchedule:
    """Subscribers that something happened to, and times at which others are to be looked at.

    Attributes:
        touched: names that something happened to, in that order.
    """

    def __init__(self):
        self.touched = {}
        self._wakes = []  # heap of (ns, name); a Subscription's wake_at tells which of its items is valid

    def touch(self, names):
        """Looks at these subscribers next time."""
        self.touched.update(dict.fromkeys(names, True))

    def wake(self, subscription, when):
        """Looks at a subscriber at `when` (ns), and no longer at the time planned before."""
        if when != subscription.wake_at:
            subscription.wake_at = when
            heappush(self._wakes, (when, subscription.name))

    def due(self, now, subscriptions):
        """Takes the names to look at.

        Args:
            now: ns.
            subscriptions: name -> Subscription of all subscribers.

        Returns:
            Names, some of which may have left.
        """
        while self._wakes and self._wakes[0][0] <= now:
            when, name = heappop(self._wakes)
            subscription = subscriptions.get(name)
            if subscription is not None and subscription.wake_at == when:
                self.touch([name])
        names = list(self.touched)
        self.touched = {}
        return names

    def next_at(self, default):
        """Time in ns of the first planned look, `default` if none is planned."""
        return self._wakes[0][0] if self._wakes else default

"""Schedule of the subscribers that a feed has to serve.

Its cost is proportional to the number of events, not to the number of subscribers.
"""

from heapq import heappop, heappush


class FeedSchedule:
    """Subscribers with pending events, and timers of the others.

    Attributes:
        touched: names of subscribers with an event, in the order of the events; the values are not used.
    """

    def __init__(self):
        self.touched = {}
        self._wakes = []  # heap of (ns, name); an item is valid if it matches its Subscription's wake_at

    def touch(self, names):
        """Marks subscribers to be served at the next call of `due`."""
        self.touched.update(dict.fromkeys(names, True))

    def wake(self, subscription, when):
        """Sets a subscriber's timer to `when` (ns), replacing its earlier one."""
        if when != subscription.wake_at:
            subscription.wake_at = when
            heappush(self._wakes, (when, subscription.name))

    def due(self, now, subscriptions):
        """Removes and returns the subscribers to serve.

        Args:
            now: current time, ns.
            subscriptions: name -> Subscription of all subscribers.

        Returns:
            Names; some of these subscribers may have left.
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
        """Time in ns of the earliest timer, `default` if there is none."""
        return self._wakes[0][0] if self._wakes else default

"""Schedule of the subscribers that a feed has to serve.

Its cost is proportional to the number of events, not to the number of subscribers.
"""

from heapq import heappop, heappush


class FeedSchedule:
    """Subscribers with pending events, and timers of the others.

    Attributes:
        pending: names of subscribers with an event, in the order of the events; the values are not used.
    """

    def __init__(self):
        self.pending = {}
        self._timers = []  # heap of (ns, name); an item is valid if it matches its Subscription's timer_at

    def mark_pending(self, names):
        """Marks subscribers to be served at the next call of `due`."""
        self.pending.update(dict.fromkeys(names, True))

    def set_timer(self, subscription, when):
        """Sets a subscriber's timer to `when` (ns), replacing its earlier one."""
        if when != subscription.timer_at:
            subscription.timer_at = when
            heappush(self._timers, (when, subscription.name))

    def due(self, now, subscriptions):
        """Removes and returns the subscribers to serve.

        Args:
            now: current time, ns.
            subscriptions: name -> Subscription of all subscribers.

        Returns:
            Names; some of these subscribers may have left.
        """
        while self._timers and self._timers[0][0] <= now:
            when, name = heappop(self._timers)
            subscription = subscriptions.get(name)
            if subscription is not None and subscription.timer_at == when:
                self.mark_pending([name])
        names = list(self.pending)
        self.pending = {}
        return names

    def next_at(self, default):
        """Time in ns of the earliest timer, `default` if there is none."""
        return self._timers[0][0] if self._timers else default

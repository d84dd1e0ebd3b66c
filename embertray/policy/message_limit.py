"""Message limit: keeps the messages to each proxy within the deployment's limit, with room for removals.

Rule: a message counts until it is acknowledged and for the deployment's window from then; one without an
acknowledgement counts for the window and the acknowledgement timeout. Removals have a deadline, and any
number may follow at any pace. So a message, whatever it carries, is sent ahead of a deadline only if the
limit then still permits one removal message in each removal interval, for as long as that message counts; if
it carries no removal, also one at once. A removal for which there is no such room is gathered with those that
follow, and is due one interval after the update of the endpoint list: its message may use the room that was
kept.

The interval follows from the settings. It leaves half of the messages to other content, but is no longer than
the drain grace less the time to reach all proxies, and no shorter than the limit permits for messages that
follow each other without end. Where even this is longer than the grace, the limit on messages is kept. No
room is kept for more messages than the channel can carry.

Inputs: messages to each proxy, limit, window and drain grace of the deployment, delays of the channel (ns).
Output: whether a message may be sent, and when removals are due.

Prevents removals that wait for the window to move on, past the drain grace, because earlier removals and
other messages have used up the limit.
"""

MESSAGES_SPARE = 1  # of the limit, not planned for removals; a repeated call writes its messages twice
ROOM_FOR_OTHERS = 0.5  # share of the limit that removals leave to other messages where the grace permits it
GRACE_SHARE = 0.7  # of the usable grace, for gathering removals; the rest covers late steps and calls


class MessageLimit:
    """Tells which proxies may be sent a message in one step.

    Args:
        context: `Context` of the controller.
    """

    def __init__(self, context):
        self.context = context
        self._is_limited = context.deployment.messages_max > 0
        self._limit = context.deployment.messages_max
        self._window = context.deployment.messages_window
        self._has_deadlines = self._is_limited and context.deployment.drain_grace > 0
        self._ack_timeout = 0  # ns
        self._interval = 0  # ns; a removal is due so long after the update of the list
        self._spacing = 0  # ns; time between removal messages for which room is kept
        self._removals = 0  # number of removal messages that may follow while a message counts, one at once

    def begin_step(self, ack_timeout, round_time, delivery_time):
        """Updates the removal interval.

        Args:
            ack_timeout: time after which a missing acknowledgement counts as lost, ns.
            round_time: channel time of one removal message to each joined proxy, ns.
            delivery_time: time until the last joined proxy has received the removals that are sent now, ns.
        """
        self._ack_timeout = ack_timeout
        if not self._has_deadlines:
            return
        counted_for = self._counted_for()
        interval_min = -(-counted_for // max(1, self._limit - MESSAGES_SPARE))
        grace = self.context.deployment.drain_grace - delivery_time
        interval = max(int(GRACE_SHARE * grace), int(interval_min / (1 - ROOM_FOR_OTHERS)))
        self._interval = max(interval_min, min(grace, interval))
        self._spacing = max(self._interval, round_time)
        self._removals = -(-counted_for // self._spacing)

    def removal_due_at(self, queued_at):
        """Returns the time at which a removal queued at `queued_at` is due; both are ns."""
        return queued_at + self._interval

    def permits(self, proxies, reserved, due_at=None):
        """Whether a message to each of some proxies is permitted now.

        Unacknowledged messages count, since they may yet be written.

        Args:
            proxies: `ProxyState`s.
            reserved: number of messages that are kept for more urgent content.
            due_at: time from which only the limit itself applies, ns; None: the message has no deadline.
        """
        return all(self._permits(proxy, reserved, due_at) for proxy in proxies)

    def _permits(self, proxy, reserved, due_at):
        now = self.context.now
        written = proxy.messages.write_times_since(now - self._window, self._ack_timeout)
        counted = 1 + len(written)
        if not self._is_limited:
            return True
        if due_at is not None and now >= due_at:
            return counted <= self._limit
        if counted > self._limit - reserved:
            return False
        limit = self._limit - min(MESSAGES_SPARE, max(0, self._limit - self._removals - 1))
        if counted + self._removals <= limit:
            return True
        # a removal that is sent now covers all that are pending; other content leaves room for one at once
        next_removal_at = now if due_at is None else now + self._spacing
        return self._has_room_for_removals(written, limit, next_removal_at)

    def _has_room_for_removals(self, written, limit, next_removal_at):
        """Whether `limit` permits a message now, and the removal messages that may follow it.

        It does not if some number of messages, this one among them, still count when so many removal messages
        have followed that these and those exceed it.

        Args:
            written: write times of the messages that count, ns.
            limit: largest number of messages that may count.
            next_removal_at: time of the first removal message that may follow, ns.
        """
        if not self._has_deadlines:
            return True
        this_message = self.context.now + self._ack_timeout
        for number, time in enumerate(sorted([this_message, *written], reverse=True), 1):
            exceeded_at = next_removal_at + (limit - number) * self._spacing
            if number > limit or time + self._window > exceeded_at:
                return False
        return True

    def _counted_for(self):
        """Returns the longest time for which a message ordered now counts, ns."""
        return self._window + self._ack_timeout

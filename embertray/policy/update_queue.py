"""Update queue: brings changed tables to their proxies, with acknowledgement and retry.

Rule: work is keyed by table and deduplicated. A table with changed lines goes once, as changed lines only
with a nonce, to all its proxies, the furthest off first and as many as have room. It leaves the queue once no
line differs and all its proxies answered. A proxy that leaves a nonce open past the acknowledgement timeout
is bound to its table anew, and the table waits 1, 2, 4, then 8 s before it is looked at again. Until that
proxy answers no proxy of the table gets ordinary updates; urgent ones and removals still go. Every 10 s a
sweep queues all tables at once, whatever they wait for. After an update that takes the channel long the next
of that table waits three times as long, 2 s at most, since each message costs overhead.

Urgent updates go before the queue at every beat: a weight that more than halves tells of a restarted or
ejected backend; a table with hardly any lines leaves its proxies without a backend to pick; levels shed load.

Inputs: changed lines of each table, open nonces of its proxies. Decides: `SetLine`, `SetLevel`, and bindings
anew.

Guards against proxies that miss a message: without the sweep and the retry they would keep stale lines for
good.
"""

from .channel_budget import NONCE_LINES, ORDINARY_UPDATE, REMOVAL, URGENT_UPDATE
from .learned_weights import LEARN_INTERVAL
from .subsetting import LINES_MIN
from .units import SECOND

RESYNC_INTERVAL = 10 * SECOND  # ns
RETRY_BACKOFF_FIRST = 1 * SECOND  # ns
RETRY_BACKOFF_MAX = 8 * SECOND  # ns; under the sweep's interval
RETRY_DOUBLINGS_MAX = 4
PAUSE_FACTOR = 3  # times what an update took the channel, until the table's next
CUT_RATIO = 0.5  # of the sent weight: under it a change is urgent


class UpdateQueue:
    """The tables that have changes to bring, and when each is looked at next.

    Args:
        context: `Context` of the controller.
        budget: `ChannelBudget`.
        writer: `TableWriter`.
    """

    def __init__(self, context, budget, writer):
        self.context = context
        self.budget = budget
        self.writer = writer
        self.due_at = {}  # table -> ns
        self._next_resync_at = 0

    def add(self, table):
        """Queues a table, unless it is queued already or nothing of it changed."""
        if self.writer.changed_lines(table):
            self.due_at.setdefault(table, self.context.now)

    def requeue(self, table):
        """Queues a table at once, whatever it waits for; its failures are forgotten."""
        table.failures = 0
        self.due_at[table] = self.context.now

    def resync_if_due(self, tables):
        """Queues all tables anew at the sweep's interval."""
        now = self.context.now
        if now >= self._next_resync_at:
            self._next_resync_at = now + RESYNC_INTERVAL
            self.due_at = dict.fromkeys(tables, now)

    def due_tables(self):
        """The tables whose turn it is, in the order of the queue."""
        return [table for table, time in self.due_at.items() if self.context.now >= time]

    def update(self, table, proxies):
        """One turn of a table: bind unanswered proxies anew, or send changed lines, or leave the queue.

        Args:
            table: `TableState`.
            proxies: the `ProxyState`s bound to it.

        Returns:
            The proxies that are to be bound to it anew.
        """
        timed_out_before = self.context.now - self.budget.ack_timeout()
        unanswered = [
            proxy for proxy in proxies if proxy.messages.has_unacknowledged_before(timed_out_before)
        ]
        changed = self.writer.changed_lines(table)
        if unanswered:
            return self._rebind(table, unanswered)
        if changed:
            self._send(table, proxies, changed)
        elif not any(proxy.messages.unacknowledged for proxy in proxies):
            table.failures = 0
            del self.due_at[table]
        return []

    def _rebind(self, table, unanswered):
        rebound = [
            proxy
            for proxy in unanswered
            if self.budget.reserve([proxy], self.writer.bind_lines(table), URGENT_UPDATE)
        ]
        backoff = RETRY_BACKOFF_FIRST << min(table.failures, RETRY_DOUBLINGS_MAX)
        self.due_at[table] = self.context.now + min(RETRY_BACKOFF_MAX, backoff)
        table.failures += 1
        return rebound

    def _send(self, table, proxies, changed):
        lines = self.budget.reserve(proxies, len(changed), ORDINARY_UPDATE, lines_min=1)
        if not lines:
            return
        self.writer.write_lines(table, changed[:lines])
        deployment = self.context.deployment
        rate = deployment.channel_rate or SECOND
        channel_time = len(proxies) * (lines + deployment.head + NONCE_LINES) * SECOND / rate
        self.due_at[table] = self.context.now + min(LEARN_INTERVAL, int(PAUSE_FACTOR * channel_time))

    def send_urgent(self, table, proxies, removals_pending):
        """Cuts, lines for proxies that hardly have any, then levels.

        Args:
            table: `TableState`.
            proxies: the `ProxyState`s bound to it.
            removals_pending: whether removals wait; then only what costs no message of its own goes, and
                lines
                for proxies without any.
        """
        has_message = proxies and all(proxy in self.budget.reserved for proxy in proxies)
        is_nearly_empty = proxies and len(table.sent) < min(LINES_MIN, len(table.desired) / 2)
        urgent = self._urgent_lines(table, is_nearly_empty, removals_pending)
        priority = REMOVAL if is_nearly_empty else URGENT_UPDATE
        lines = self.budget.reserve(proxies, len(urgent), priority, lines_min=1)
        self.writer.write_lines(table, urgent[:lines])
        if has_message or not removals_pending:
            self.writer.write_levels(table, proxies, REMOVAL if has_message else URGENT_UPDATE)

    def _urgent_lines(self, table, is_nearly_empty, removals_pending):
        """Cuts, or all changed lines of a table that is nearly empty; never removals."""
        return [
            (backend, weight)
            for backend, weight in self.writer.changed_lines(table)
            if weight
            and (is_nearly_empty or not removals_pending and weight < CUT_RATIO * table.sent.get(backend, 0))
        ]

"""Update queue: delivers changed tables to their proxies, with acknowledgements and retries.

Rule: items are keyed by table and deduplicated. Only the changed lines of a table are sent, once and with a
nonce, to all its proxies, largest difference first and as many as there is room for. A table leaves the queue
once no line differs and all its proxies have acknowledged. A proxy that does not acknowledge a nonce within
the acknowledgement timeout is bound to its table again, and the table is retried after 1, 2, 4, then 8 s.
Until that proxy acknowledges, no proxy of the table gets ordinary updates; urgent updates and removals are
still sent. Every 10 s a resync queues all tables at once, whatever they wait for. After an update that
occupies the channel for some time, the next update of that table waits three times as long, at most 2 s,
since each message costs overhead.

Urgent updates are sent before the queue in every control cycle: a weight reduced to less than half indicates
a restarted or ejected backend, a nearly empty table leaves its proxies without a backend, and levels shed
load.

Inputs: changed lines of each table, unacknowledged nonces of its proxies. Output: `SetLine` and
`SetAdmission` orders, and repeated bindings.

Prevents proxies that miss a message from keeping stale lines for good, as they would without the resync and
the retries.
"""

from .channel_budget import NONCE_LINES, ORDINARY_UPDATE, REMOVAL, URGENT_UPDATE
from .learned_weights import LEARN_INTERVAL
from .subsetting import LINES_MIN
from .units import SECOND

RESYNC_INTERVAL = 10 * SECOND  # ns
RETRY_BACKOFF_FIRST = 1 * SECOND  # ns
RETRY_BACKOFF_MAX = 8 * SECOND  # ns; shorter than the resync interval
RETRY_DOUBLINGS_MAX = 4
PAUSE_FACTOR = 3  # times the channel time of an update, until the next one of that table
CUT_RATIO = 0.5  # of the sent weight; a cut below it is urgent


class UpdateQueue:
    """The tables with undelivered changes, and the time at which each is due.

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
        """Queues a table if some line changed; a queued table keeps its due time."""
        if self.writer.changed_lines(table):
            self.due_at.setdefault(table, self.context.now)

    def requeue(self, table):
        """Queues a table as due now, and resets its failures."""
        table.failures = 0
        self.due_at[table] = self.context.now

    def resync_if_due(self, tables):
        """Queues all tables as due now, once per resync interval."""
        now = self.context.now
        if now >= self._next_resync_at:
            self._next_resync_at = now + RESYNC_INTERVAL
            self.due_at = dict.fromkeys(tables, now)

    def due_tables(self):
        """Returns the due tables, in queue order."""
        return [table for table, time in self.due_at.items() if self.context.now >= time]

    def update(self, table, proxies):
        """Processes a due table: rebinds timed-out proxies, sends changed lines, or dequeues it.

        Args:
            table: `TableState`.
            proxies: the `ProxyState`s bound to it.

        Returns:
            Proxies that are to be bound to the table again.
        """
        timed_out_before = self.context.now - self.budget.ack_timeout()
        timed_out = [proxy for proxy in proxies if proxy.messages.has_unacknowledged_before(timed_out_before)]
        changed = self.writer.changed_lines(table)
        if timed_out:
            return self._rebind(table, timed_out)
        if changed:
            self._send(table, proxies, changed)
        elif not any(proxy.messages.unacknowledged for proxy in proxies):
            table.failures = 0
            del self.due_at[table]
        return []

    def _rebind(self, table, timed_out):
        rebound = [
            proxy
            for proxy in timed_out
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
        """Sends weight cuts, lines of nearly empty tables, then levels.

        Args:
            table: `TableState`.
            proxies: the `ProxyState`s bound to it.
            removals_pending: whether removals are pending; then only lines of nearly empty tables are sent,
                and levels that need no message of their own.
        """
        has_message = proxies and all(proxy in self.budget.reserved for proxy in proxies)
        is_nearly_empty = proxies and len(table.sent) < min(LINES_MIN, len(table.desired) / 2)
        urgent = self._urgent_lines(table, is_nearly_empty, removals_pending)
        priority = REMOVAL if is_nearly_empty else URGENT_UPDATE
        due_at = None if table.sent else self.context.now  # without lines its proxies reject all requests
        lines = self.budget.reserve(proxies, len(urgent), priority, lines_min=1, due_at=due_at)
        self.writer.write_lines(table, urgent[:lines])
        if has_message or not removals_pending:
            self.writer.write_levels(table, proxies, REMOVAL if has_message else URGENT_UPDATE)

    def _urgent_lines(self, table, is_nearly_empty, removals_pending):
        """Returns weight cuts, or all changed lines of a nearly empty table; never removals."""
        return [
            (backend, weight)
            for backend, weight in self.writer.changed_lines(table)
            if weight
            and (is_nearly_empty or not removals_pending and weight < CUT_RATIO * table.sent.get(backend, 0))
        ]

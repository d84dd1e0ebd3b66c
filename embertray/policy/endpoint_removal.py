"""Endpoint removal: removes the lines of backends that are no longer ready from all tables.

Rule: removals do not wait for the update queue, its retries or its acknowledgements. All pending removals of
a table are sent in one message, or at least half of them if the channel can take so many; the table that has
waited longest is first. Where the message limit is short, the removals of a table are gathered until the
oldest one is due. Proxies that are not bound yet are told to withdraw the backend from the table they hold;
where tables are subsets, a binding is sent instead, which costs no more than withdrawals and achieves more. A
backend that is ready again is readmitted. While removals wait for room in the channel, only bindings and
changes that fit into the same messages are sent besides.

Inputs: backends that stopped being ready, with the time of the endpoint list update (ns). Output: lines with
weight 0 and `Withdraw` orders.

Prevents requests to draining or removed backends past the drain grace: behind the backoff of the update queue
a removal would wait for seconds, and many drains sent one by one would cost the overhead of a message each,
and use up the messages that a proxy may be sent.
"""

from .channel_budget import REMOVAL, URGENT_UPDATE
from .interface import Log, Withdraw
from .units import SECOND

LOG_INTERVAL = 1 * SECOND  # ns between two log lines on late removals


class EndpointRemoval:
    """Tracks and sends the pending removals.

    Args:
        context: `Context` of the controller.
        budget: `ChannelBudget`.
        writer: `TableWriter`.
        queue: `UpdateQueue`; a table whose lines were removed is requeued.
    """

    def __init__(self, context, budget, writer, queue):
        self.context = context
        self.budget = budget
        self.writer = writer
        self.queue = queue
        self.pending = {}  # backend -> time of the list update, ns
        self.withdrawn = {}  # backend -> True; unbound proxies have withdrawn it
        self.awaits_lines = False  # some pending removal waits for room in the channel
        self.gathering_until = None  # ns; time at which the first gathered removal is due
        self._next_log_at = 0  # ns

    def add(self, backend):
        """Queues the removal of a backend that stopped being ready."""
        self.pending[backend] = self.context.now

    def cancel_for_ready(self):
        """Cancels the removals of backends that are ready again."""
        self.pending = {backend: time for backend, time in self.pending.items() if backend.state != "ready"}

    def oldest(self):
        """Returns the time at which the oldest pending removal was queued, ns; None if there is none."""
        return min(self.pending.values(), default=None)

    def pending_lines(self, proxies_by_table):
        """Returns the lines of the pending removals in the messages to all bound proxies.

        Args:
            proxies_by_table: table -> the `ProxyState`s bound to it.
        """
        return sum(
            len(proxies)
            for table, proxies in proxies_by_table.items()
            for backend in self.pending
            if backend in table.sent
        )

    def remove(self, proxies_by_table, unbound, joined):
        """Sends removals, withdrawals and readmissions as far as the channel budget permits.

        Args:
            proxies_by_table: table -> the `ProxyState`s bound to it.
            unbound: joined proxies that are told to withdraw; empty where they are bound instead.
            joined: all joined proxies.

        Returns:
            `Withdraw` orders.
        """
        self.awaits_lines = False
        self.gathering_until = None
        self._remove_lines(proxies_by_table)
        return self._withdraw(proxies_by_table, unbound) + self._readmit(joined)

    def _remove_lines(self, proxies_by_table):
        pending_by_table = {
            table: [backend for backend in self.pending if backend in table.sent]
            for table in proxies_by_table
        }
        oldest_by_table = {
            table: min((self.pending[backend] for backend in backends), default=0)
            for table, backends in pending_by_table.items()
        }
        for table, backends in sorted(pending_by_table.items(), key=lambda item: oldest_by_table[item[0]]):
            proxies = proxies_by_table[table]
            due_at = self.budget.message_limit.removal_due_at(oldest_by_table[table])
            if not backends or not self._may_send(proxies, due_at):
                continue
            half = (len(backends) + 1) // 2
            lines_min = max(1, min(half, self.budget.lines_max(proxies, REMOVAL)))
            lines = self.budget.reserve(proxies, len(backends), REMOVAL, lines_min, due_at)
            self.writer.write_lines(table, [(backend, 0) for backend in backends[:lines]])
            if lines:
                self.queue.requeue(table)
            if lines < len(backends):
                self.awaits_lines = True
                break  # smaller tables must not starve this one

    def _may_send(self, proxies, due_at):
        """Whether the message limit permits a removal that is due at `due_at`, ns; if not, it is gathered."""
        if self.budget.may_send(proxies, REMOVAL, due_at):
            return True
        if self.context.now < due_at:
            self.gathering_until = min(due_at, self.gathering_until or due_at)
        elif self.context.now >= self._next_log_at:
            self._log_late()
        return False

    def _log_late(self):
        self._next_log_at = self.context.now + LOG_INTERVAL
        text = (
            f"removals wait for the message limit: {len(self.pending)} backends that are not ready are still "
            f"in use, the first for {(self.context.now - self.oldest()) / SECOND:.1f} s"
        )
        self.context.orders.append(Log(text))

    def _withdraw(self, tables, unbound):
        orders = []
        for backend, queued_at in list(self.pending.items()):
            is_removed = not any(backend in table.sent for table in tables)
            due_at = self.budget.message_limit.removal_due_at(queued_at)
            if not is_removed or not self._may_send(unbound, due_at):
                continue
            if not self.budget.reserve(unbound, 1, REMOVAL, due_at=due_at):
                self.awaits_lines = True
                continue
            if unbound:
                orders.append(Withdraw(backend.handle, True))
                self.withdrawn[backend] = True
            del self.pending[backend]
        return orders

    def _readmit(self, joined):
        orders = []
        returned = [backend for backend in self.withdrawn if backend.state == "ready"]
        for backend in returned:
            if self.budget.reserve(joined, 1, URGENT_UPDATE):
                orders.append(Withdraw(backend.handle, False))
                del self.withdrawn[backend]
        return orders

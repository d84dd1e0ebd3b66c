"""Removal of draining endpoints: takes the lines of backends that stopped being ready out of all tables.

Rule: removals do not wait for the update queue, its retries or its acknowledgements. Each table sheds all its
due lines in one message, or at least half of them; the table that has waited longest goes first. Proxies that
are not bound yet are told to withdraw the backend from whatever they hold; where tables are subsets, binding
them is no dearer than withdrawals and does more. A backend that is ready again is put back. Until all
removals are out nothing else goes but bindings and what rides along.

Inputs: backends that stopped being ready, with the time at which the list told (ns). Decides: lines with
weight 0 and `Withdraw` orders.

Guards against requests to a draining or removed backend past the drain grace: behind the queue's backoff a
removal would wait for seconds, and a wave of drains, sent one by one, would cost a message's overhead each.
"""

from .channel_budget import REMOVAL, URGENT_UPDATE
from .interface import Withdraw


class EndpointRemoval:
    """The removals that are not out yet.

    Args:
        context: `Context` of the controller.
        budget: `ChannelBudget`.
        writer: `TableWriter`.
        queue: `UpdateQueue`; a table that shed lines is looked at again at once.
    """

    def __init__(self, context, budget, writer, queue):
        self.context = context
        self.budget = budget
        self.writer = writer
        self.queue = queue
        self.pending = {}  # backend -> when the list told, ns
        self.withdrawn = {}  # backend -> True: proxies that were not bound hold it withdrawn

    def add(self, backend):
        """A backend stopped being ready."""
        self.pending[backend] = self.context.now

    def cancel_for_ready(self):
        """Backends that are ready again need no removal."""
        self.pending = {backend: time for backend, time in self.pending.items() if backend.state != "ready"}

    def oldest(self):
        """When the list told of the removal that has waited longest, ns; None if none waits."""
        return min(self.pending.values(), default=None)

    def remove(self, proxies_by_table, unbound, joined):
        """Sends what has room.

        Args:
            proxies_by_table: table -> the `ProxyState`s bound to it.
            unbound: joined proxies that are told to withdraw; empty where they are bound soon instead.
            joined: all joined proxies.

        Returns:
            `Withdraw` orders.
        """
        self._remove_lines(proxies_by_table)
        return self._withdraw(proxies_by_table, unbound) + self._readmit(joined)

    def _remove_lines(self, proxies_by_table):
        pending = {
            table: [backend for backend in self.pending if backend in table.sent]
            for table in proxies_by_table
        }
        oldest = {
            table: min((self.pending[one] for one in backends), default=0)
            for table, backends in pending.items()
        }
        for table, backends in sorted(pending.items(), key=lambda item: oldest[item[0]]):
            lines_min = (len(backends) + 1) // 2
            lines = self.budget.reserve(proxies_by_table[table], len(backends), REMOVAL, lines_min)
            self.writer.write_lines(table, [(backend, 0) for backend in backends[:lines]])
            if lines:
                self.queue.requeue(table)
            if lines < len(backends):
                break  # small tables must not take the room of this one again and again

    def _withdraw(self, tables, unbound):
        orders = []
        for backend in list(self.pending):
            is_out = not any(backend in table.sent for table in tables)
            if is_out and self.budget.reserve(unbound, 1, REMOVAL):
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

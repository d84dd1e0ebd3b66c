"""Publisher: sends changes to the proxies in each step, most urgent first, in one message per proxy.

Rule: removals and bindings are sent in every step. In control cycles, urgent updates and levels follow, then
the update queue. All orders of one step carry one nonce, which each affected proxy acknowledges once it has
applied the message. While removals wait for room in the channel, tables that have proxies get nothing from
the queue.
"""

from .channel_budget import BINDING, REMOVAL, ChannelBudget
from .endpoint_removal import EndpointRemoval
from .interface import Bind, Nonce, RequestAcknowledgement
from .proxy_binding import Binding, ProxyBinding
from .routing_tables import RoutingTables
from .table_writer import TableWriter
from .update_queue import UpdateQueue


class Publisher:
    """Distributes the tables of one controller to its proxies.

    Args:
        context: `Context` of the controller.
        endpoint_watch: `EndpointWatch`.
    """

    def __init__(self, context, endpoint_watch):
        self.context = context
        self.tables = RoutingTables(context)
        self.budget = ChannelBudget(context, endpoint_watch)
        self.writer = TableWriter(self.budget)
        self.queue = UpdateQueue(context, self.budget, self.writer)
        self.removal = EndpointRemoval(context, self.budget, self.writer, self.queue)
        self.binding = ProxyBinding(context, self.budget, self.writer, self.tables)
        self.has_urgent_changes = False  # a removal or binding is to be sent before the next control cycle

    def proxy_joined(self, proxy):
        """Queues the binding of a proxy that joined."""
        self.binding.add(proxy)
        self.has_urgent_changes = True

    def backend_left(self, backend):
        """Queues the removal of a backend that stopped being ready."""
        self.removal.add(backend)
        self.has_urgent_changes = True

    def set_desired(self, zone, desired):
        """Sets the desired lines of a zone and queues the tables that change.

        Args:
            zone: `interface.Zone`.
            desired: `BackendState` -> weight.
        """
        for table in self.tables.set_desired(zone, desired):
            self.queue.add(table)

    def next_publish_at(self):
        """Returns when changes are to be sent before the next control cycle, ns; None: not before it."""
        return self.context.now if self.has_urgent_changes else self.removal.gathering_until

    def publish(self, levels=None):
        """Orders changes as far as the channel budget permits.

        Args:
            levels: request kind -> `AdmissionLevel` in a control cycle; None between cycles, when only
                removals and bindings are sent.
        """
        context = self.context
        joined = context.joined_proxies
        self.has_urgent_changes = False
        self.removal.cancel_for_ready()
        proxies_by_table, unbound = self._proxies_by_table(joined)
        self.budget.begin_step(len(joined), self.removal.pending_lines(proxies_by_table))
        self.writer.begin_step(levels)
        self.queue.resync_if_due(self.tables.all)
        bindings, withdrawals = self._remove_and_bind(joined, proxies_by_table, unbound)
        if levels:
            bindings += self._update_tables(proxies_by_table)
        for binding in bindings:
            binding.proxy.table = binding.table
        binds = [Bind(binding.proxy.handle, binding.table.handle) for binding in bindings]
        context.orders += self.writer.orders + binds + withdrawals
        self._order_nonce()

    def _proxies_by_table(self, joined):
        """Returns (table -> joined proxies bound to it, joined proxies that are not bound)."""
        proxies_by_table = {table: [] for table in self.tables.all}
        unbound = []
        for proxy in joined:
            (unbound if proxy.table is None else proxies_by_table[proxy.table]).append(proxy)
        return proxies_by_table, unbound

    def _remove_and_bind(self, joined, proxies_by_table, unbound):
        """Sends removals and bindings.

        With subsets, proxies that joined before the oldest pending removal are bound first.

        Returns:
            (list of `Binding`, list of `Withdraw` orders).
        """
        removal = self.removal
        subsets = self.tables.are_subsets
        bindings = []
        if subsets and removal.pending:
            bindings += self.binding.bind(REMOVAL, True, removal.oldest())
        withdrawals = removal.remove(proxies_by_table, [] if subsets else unbound, joined)
        removals_pending = removal.awaits_lines
        priority = REMOVAL if removals_pending and subsets else BINDING
        bindings += self.binding.bind(priority, removals_pending)
        return bindings, withdrawals

    def _update_tables(self, proxies_by_table):
        """Sends urgent updates, then the due tables of the queue; returns the repeated `Binding`s."""
        removals_pending = self.removal.awaits_lines
        for table, proxies in proxies_by_table.items():
            self.queue.send_urgent(table, proxies, removals_pending)
        bindings = []
        due = [
            table for table in self.queue.due_tables() if not (removals_pending and proxies_by_table[table])
        ]
        for table in due:
            rebound = self.queue.update(table, proxies_by_table[table])
            bindings += [Binding(proxy, table) for proxy in rebound]
        return bindings

    def _order_nonce(self):
        if not self.budget.reserved:
            return
        nonce = Nonce()
        self.context.orders.append(RequestAcknowledgement(nonce))
        for proxy in self.budget.reserved:
            proxy.messages.record_order(nonce, self.context.now)
        self.budget.record_order(nonce)

    def release(self, departed):
        """Drops all references to a backend or proxy that departed long ago.

        Args:
            departed: `BackendState` or `ProxyState`.

        Returns:
            False while its removal is pending, a table still has a line for it, or an unbound proxy still
            holds it withdrawn (a binding clears that); otherwise True.
        """
        removal = self.removal
        is_withdrawn = departed in removal.withdrawn and any(
            proxy.table is None for proxy in self.context.joined_proxies
        )
        if (
            is_withdrawn
            or departed in removal.pending
            or any(departed in table.sent for table in self.tables.all)
        ):
            return False
        self.binding.pending.pop(departed, None)
        removal.withdrawn.pop(departed, None)
        return True

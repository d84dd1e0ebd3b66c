"""Binding of proxies: gives each proxy that joins the table of its zone.

Rule: a proxy that joins is bound anew, whatever it held before. Who has waited longest goes first; a proxy
that has its standing table only (the one it is installed with and uses until a controller binds it) counts as
a quarter of the drain grace ahead, then the one with the most requests goes first.

Inputs: joined proxies that are not bound, with the time of their joining (ns). Decides: `Binding`s.

Guards against proxies that are left with few or stale backends: when a whole fleet joins at once its bindings
take seconds of the channel, and for each proxy the grace runs from its joining.
"""

from collections import Counter
from typing import Any, NamedTuple

from .channel_budget import NONCE_LINES
from .units import SECOND

HEAD_START_MIN = SECOND // 4  # ns; a beat
HEAD_START_GRACE_DIVISOR = 4  # a proxy with its standing table only is the drain grace divided by this ahead


class Binding(NamedTuple):
    """A proxy that is to be bound to a table."""

    proxy: Any  # ProxyState
    table: Any  # TableState


class ProxyBinding:
    """The proxies that wait for their table.

    Args:
        context: `Context` of the controller.
        budget: `ChannelBudget`.
        writer: `TableWriter`.
        tables: `RoutingTables`.
    """

    def __init__(self, context, budget, writer, tables):
        self.context = context
        self.budget = budget
        self.writer = writer
        self.tables = tables
        self.pending = {}  # proxy -> True

    def add(self, proxy):
        """A proxy joined."""
        self.pending[proxy] = True

    def bind(self, priority, removals_pending, joined_before=None):
        """Binds those that wait, as far as there is room.

        Args:
            priority: `Priority` in the channel.
            removals_pending: whether removals wait.
            joined_before: ns; only proxies that joined earlier. None: all.

        Returns:
            list of `Binding`.
        """
        bindings = []
        if not self.pending:
            return bindings
        rates = self.tables.usual_rates()
        joined = Counter(proxy.zone for proxy in self.context.joined_proxies)
        for proxy in self._by_urgency(joined_before):
            table = self.tables.table_for(proxy, joined, rates, removals_pending)
            if not table:
                continue
            lines = self.writer.bind_lines(table)
            if self.budget.reserve([proxy], lines, priority):
                del self.pending[proxy]
                bindings.append(Binding(proxy, table))
                rates[table] += proxy.usual_rate
            elif self._is_channel_full(lines, priority):
                break
        return bindings

    def _by_urgency(self, joined_before):
        head_start = max(HEAD_START_MIN, self.context.deployment.drain_grace // HEAD_START_GRACE_DIVISOR)
        limit = joined_before or self.context.now + 1
        proxies = [proxy for proxy in self.pending if proxy.joined and proxy.joined_at < limit]

        def urgency(proxy):
            return proxy.joined_at + (0 if proxy.has_standing_table_only else head_start), -proxy.usual_rate

        return sorted(proxies, key=urgency)

    def _is_channel_full(self, lines, priority):
        """Whether there is no room for the others either."""
        deployment = self.context.deployment
        needed = lines + deployment.head + NONCE_LINES
        return deployment.pending_max and self.budget.free_lines(priority) < needed

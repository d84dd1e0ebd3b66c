"""Proxy binding: assigns each joining proxy a table of its zone.

Rule: a proxy that joins is always bound again, whatever table it holds. The proxy that has waited longest is
bound first; a proxy that holds only its standing table (the installed table that it uses until a controller
binds it) gets a head start of a quarter of the drain grace. Ties go to the proxy with the most requests.

Inputs: joined proxies that are not bound, with their join time (ns). Output: `Binding`s.

Prevents proxies from keeping few or stale backends: when a whole fleet joins at once, its bindings occupy the
channel for seconds, and the drain grace of each proxy starts when it joins.
"""

from collections import Counter
from typing import Any, NamedTuple

from .channel_budget import NONCE_LINES
from .units import SECOND

HEAD_START_MIN = SECOND // 4  # ns; one control cycle
HEAD_START_GRACE_DIVISOR = 4  # the head start is the drain grace divided by this


class Binding(NamedTuple):
    """A proxy that is to be bound to a table."""

    proxy: Any  # ProxyState
    table: Any  # TableState


class ProxyBinding:
    """Tracks and binds the proxies that have no table yet.

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
        """Queues the binding of a proxy that joined."""
        self.pending[proxy] = True

    def bind(self, priority, removals_pending, joined_before=None):
        """Binds pending proxies as far as the channel budget permits.

        Args:
            priority: `Priority` of the bindings in the channel.
            removals_pending: whether removals are pending.
            joined_before: ns; binds only proxies that joined earlier. None: all.

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
        """Whether the channel has no room for the remaining proxies either."""
        deployment = self.context.deployment
        needed = lines + deployment.head + NONCE_LINES
        return deployment.pending_max and self.budget.free_lines(priority) < needed

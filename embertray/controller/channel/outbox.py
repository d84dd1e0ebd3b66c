"""Orders of one step become one message for each proxy concerned, with what it costs in lines.

Keeps what was ordered so far: tables, who is bound, who was told of which withdrawal. A joined proxy that is
not bound may hold any line (its standing table), so it is told of every withdrawal.
"""

from embertray.controller.stream.messages import Bind, Level, Line, Orders, Out
from embertray.policy import interface as i


class OrderedTable:
    """A table as ordered: lines and levels by their objects, in order."""

    def __init__(self):
        self.lines, self.levels, self.proxies = {}, {}, {}


class Outbox:
    """Turns a step's orders into messages. `head` is what a message costs beyond its lines."""

    def __init__(self, identifiers, head, kinds):
        self.identifiers, self.head = identifiers, head
        self.names = kinds  # RequestKind -> its name
        self.tables, self.withdrawn = {}, {}  # Table -> OrderedTable; Backend -> proxies told that it is out
        self.bound = {}  # joined Proxy -> Table or None
        self.unlimited_level, self.retry_limit, self.retry_after = (
            1.0,
            3,
            0,
        )  # a level that denies none; what goes with one that does

    def proxy_joined(self, proxy):
        self.proxy_left(proxy)
        self.bound[proxy] = None

    def proxy_left(self, proxy):
        table = self.bound.pop(proxy, None)
        if table is not None:
            self.tables[table].proxies.pop(proxy, None)
        for informed in self.withdrawn.values():
            informed.pop(proxy, None)

    def build_messages(self, now, orders):
        """[(proxy, Orders, nonce or None)], in the order in which proxies were first concerned."""
        lines, costs, nonce, news = {}, {}, None, []
        for order in orders:
            for proxy, do, cost in self.concerned(order):
                lines.setdefault(proxy, []).append(do)
                costs[proxy] = costs.get(proxy, 0) + cost
            if isinstance(order, i.PutNonce):
                nonce = order.nonce
        ident = self.identifiers.nonce_id(nonce) if nonce and lines else None
        for proxy, do in lines.items():
            cost = self.head + costs[proxy] + (ident is not None)
            news.append((proxy, Orders(now, float(cost), do, ident), nonce if ident else None))
        return news

    def concerned(self, order):
        """(proxy, message part, lines it costs) for each proxy that an order reaches."""
        if isinstance(order, i.SetLine):
            tab, ident, backend = (
                self.ordered_table(order.table),
                self.identifiers.table_id(order.table),
                order.backend,
            )
            new = order.weight > 0 and backend not in tab.lines
            if order.weight > 0:
                tab.lines[backend] = order.weight
            else:
                tab.lines.pop(backend, None)
            part, hidden = (
                Line(ident, backend.external_id, order.weight),
                self.withdrawn.get(backend) if new else None,
            )
            for proxy in tab.proxies:
                # a withdrawn one comes into a table: still out
                if hidden is not None and proxy not in hidden:
                    hidden[proxy] = True
                    yield proxy, Out(backend.external_id, True), 1
                yield proxy, part, 1
        elif isinstance(order, i.Bind):
            proxy = order.proxy
            if proxy not in self.bound:
                return
            self.unbind(proxy)
            tab = self.ordered_table(order.table)
            self.bound[proxy], tab.proxies[proxy] = order.table, True
            out = [backend for backend in tab.lines if backend in self.withdrawn]
            for backend, informed in self.withdrawn.items():
                informed.pop(proxy, None)
                if backend in tab.lines:
                    informed[proxy] = True
            yield (
                proxy,
                Bind(
                    self.identifiers.table_id(order.table),
                    [(backend.external_id, w) for backend, w in tab.lines.items()],
                    [(self.names[k], *level) for k, level in tab.levels.items()],
                    [backend.external_id for backend in out],
                ),
                1 + len(tab.lines) + len(tab.levels) + len(out),
            )
        elif isinstance(order, i.Withdraw):
            backend, part = order.backend, Out(order.backend.external_id, order.out)
            if order.out:
                informed = self.withdrawn.setdefault(backend, {})
                for proxy, table in self.bound.items():
                    if proxy not in informed and (table is None or backend in self.tables[table].lines):
                        informed[proxy] = True
                        yield proxy, part, 1
            else:
                for proxy in self.withdrawn.pop(backend, {}):
                    yield proxy, part, 1
        elif isinstance(order, i.SetLevel):
            tab = self.ordered_table(order.table)
            kinds, retry, wait = order.kinds or list(self.names), order.retry, 0
            if (
                order.level < self.unlimited_level
            ):  # what is reduced rides along: a level alone is no reason for a line
                retry, wait = min(retry, self.retry_limit), self.retry_after
            tab.levels.update({kind: (order.level, retry) for kind in kinds})
            part = Level(
                self.identifiers.table_id(order.table),
                [self.names[k] for k in kinds],
                order.level,
                retry,
                wait,
            )
            for proxy in tab.proxies:
                yield proxy, part, 1

    def ordered_level(self, proxy, kind):
        """What a joined proxy was ordered to let in of a kind; None: all."""
        table = self.bound.get(proxy)
        level = self.tables[table].levels.get(kind) if table is not None else None
        return None if level is None or level[0] >= self.unlimited_level else level[0]

    def unbind(self, proxy):
        old = self.bound.get(proxy)
        if old is not None:
            self.tables[old].proxies.pop(proxy, None)

    def ordered_table(self, table):
        if table not in self.tables:
            self.tables[table] = OrderedTable()
        return self.tables[table]

"""Orders of one step become one message for each proxy concerned, with what it costs in lines.

Keeps what was ordered so far: tables, who is bound, who was told of which withdrawal. A joined proxy that is
not bound may hold any line (its standing table), so it is told of every withdrawal.
"""

from .. import interface as i
from ..stream.messages import Bind, Level, Line, Orders, Out


class Ordered:
    """A table as ordered: lines and levels by their objects, in order."""

    def __init__(self):
        self.lines, self.levels, self.users = {}, {}, {}


class Outbox:
    """Turns a step's orders into messages. `head` is what a message costs beyond its lines."""

    def __init__(self, identifiers, head, kinds):
        self.identifiers, self.head = identifiers, head
        self.names = kinds  # RequestKind -> its name
        self.tables, self.out = {}, {}  # Table -> Ordered; Backend -> proxies told that it is out
        self.bound = {}  # joined Proxy -> Table or None
        self.all_in, self.most_again, self.wait = (
            1.0,
            3,
            0,
        )  # a level that denies none; what goes with one that does

    def joined(self, px):
        self.left(px)
        self.bound[px] = None

    def left(self, px):
        table = self.bound.pop(px, None)
        if table is not None:
            self.tables[table].users.pop(px, None)
        for told in self.out.values():
            told.pop(px, None)

    def post(self, now, orders):
        """[(proxy, Orders, nonce or None)], in the order in which proxies were first concerned."""
        lines, costs, nonce, news = {}, {}, None, []
        for order in orders:
            for px, do, cost in self.concerned(order):
                lines.setdefault(px, []).append(do)
                costs[px] = costs.get(px, 0) + cost
            if isinstance(order, i.PutNonce):
                nonce = order.nonce
        ident = self.identifiers.nonce_id(nonce) if nonce and lines else None
        for px, do in lines.items():
            cost = self.head + costs[px] + (ident is not None)
            news.append((px, Orders(now, float(cost), do, ident), nonce if ident else None))
        return news

    def concerned(self, order):
        """(proxy, message part, lines it costs) for each proxy that an order reaches."""
        if isinstance(order, i.SetLine):
            tab, ident, be = self.table(order.table), self.identifiers.table_id(order.table), order.backend
            new = order.weight > 0 and be not in tab.lines
            if order.weight > 0:
                tab.lines[be] = order.weight
            else:
                tab.lines.pop(be, None)
            part, hidden = Line(ident, be.external_id, order.weight), self.out.get(be) if new else None
            for px in tab.users:
                if hidden is not None and px not in hidden:  # a withdrawn one comes into a table: still out
                    hidden[px] = True
                    yield px, Out(be.external_id, True), 1
                yield px, part, 1
        elif isinstance(order, i.Bind):
            px = order.proxy
            if px not in self.bound:
                return
            self.unbind(px)
            tab = self.table(order.table)
            self.bound[px], tab.users[px] = order.table, True
            out = [be for be in tab.lines if be in self.out]
            for be, told in self.out.items():
                told.pop(px, None)
                if be in tab.lines:
                    told[px] = True
            yield (
                px,
                Bind(
                    self.identifiers.table_id(order.table),
                    [(be.external_id, w) for be, w in tab.lines.items()],
                    [(self.names[k], *level) for k, level in tab.levels.items()],
                    [be.external_id for be in out],
                ),
                1 + len(tab.lines) + len(tab.levels) + len(out),
            )
        elif isinstance(order, i.Withdraw):
            be, part = order.backend, Out(order.backend.external_id, order.out)
            if order.out:
                told = self.out.setdefault(be, {})
                for px, table in self.bound.items():
                    if px not in told and (table is None or be in self.tables[table].lines):
                        told[px] = True
                        yield px, part, 1
            else:
                for px in self.out.pop(be, {}):
                    yield px, part, 1
        elif isinstance(order, i.SetLevel):
            tab = self.table(order.table)
            kinds, retry, wait = order.kinds or list(self.names), order.retry, 0
            if (
                order.level < self.all_in
            ):  # what is reduced rides along: a level alone is no reason for a line
                retry, wait = min(retry, self.most_again), self.wait
            tab.levels.update({kind: (order.level, retry) for kind in kinds})
            part = Level(
                self.identifiers.table_id(order.table),
                [self.names[k] for k in kinds],
                order.level,
                retry,
                wait,
            )
            for px in tab.users:
                yield px, part, 1

    def level_of(self, px, kind):
        """What a joined proxy was ordered to let in of a kind; None: all."""
        table = self.bound.get(px)
        level = self.tables[table].levels.get(kind) if table is not None else None
        return None if level is None or level[0] >= self.all_in else level[0]

    def unbind(self, px):
        old = self.bound.get(px)
        if old is not None:
            self.tables[old].users.pop(px, None)

    def table(self, table):
        if table not in self.tables:
            self.tables[table] = Ordered()
        return self.tables[table]

"""Which lines stand in which table, and which table a joiner gets."""

from embertray.policy.records.tables import TableState

from .actor import c, i


class Parts:
    """A zone's tables: one of all listed, as designed, where the channel can bring that to all proxies in
    time; else each of a part, of all zones, by what comes to its users. `usual`: tables in use at most; if
    all controllers' (each begins elsewhere) are few, parts are larger."""

    def __init__(self, owner):
        each = owner.site.proxies // max(1, owner.site.controllers * c.USERS * len(owner.site.zones))
        self.draw, self.tables, self.of, self.open, self.usual = owner.chance(), [], {}, 1, max(1, each)
        self.many = self.usual * owner.site.controllers // c.COVER

    def deal(self, want, size, rates):
        """Gives each table its part of `want`. `size`: lines of a part, or 0 for no limit."""
        need = max(1, -(-len(want) // size)) if size else 1
        need = need if need <= self.many else min(need, self.usual)
        if need > c.GROWN * len(self.tables):
            self.tables += [TableState(i.Table()) for _ in range(need - len(self.tables))]
            self.open = min(need, self.usual)
        if len(self.tables) == 1:
            self.tables[0].want = want
            return self.tables
        self.of = {backend: table for backend, table in self.of.items() if backend.state == "ready"}
        rates = rates if self.open == len(self.tables) else {}  # else most have no users, all are alike
        some = (sum(rates.get(table, 0.0) for table in self.tables) or 1.0) / len(self.tables) * c.IDLE
        come = {table: rates.get(table, 0.0) + some for table in self.tables}
        for zone in dict.fromkeys(backend.zone for backend in want):
            self.level({backend: w for backend, w in want.items() if backend.zone is zone}, come)
        for table in self.tables:
            table.want = {backend: 0 for backend in table.sent if self.of.get(backend, table) is not table}
        for backend, w in want.items():
            self.of[backend].want[backend] = w
        few = sorted(want, key=lambda backend: -want[backend])[: c.LINES_LEAST]
        for table in [table for table in self.tables if not any(table.want.values())]:
            table.want.update({backend: want[backend] for backend in few})  # proxies have no line to pick
        return self.tables

    def level(self, group, come):
        """Backends of one zone: new ones go where most is lacking, and from where most is over if much is."""
        each = sum(group.values()) / sum(come.values())  # weight for what comes
        lack = {table: rate * each for table, rate in come.items()}
        for backend in [backend for backend in group if backend in self.of]:
            lack[self.of[backend]] -= group[backend]
        new = [backend for backend in group if backend not in self.of]
        for backend in sorted(new, key=lambda backend: (-group[backend], backend.draw)):
            self.of[backend] = table = max(lack, key=lack.get)
            lack[table] -= group[backend]
        for _ in range(c.MOVES):
            poor, rich = max(lack, key=lack.get), min(lack, key=lack.get)
            gap = lack[poor] - lack[rich]
            fit = [backend for backend, w in group.items() if self.of[backend] is rich and w < gap]
            if lack[poor] <= c.LACKS * come[poor] * each or not fit:
                break
            self.of[backend := min(fit, key=lambda backend: abs(group[backend] - gap / 2))] = poor
            lack[poor] -= group[backend]
            lack[rich] += group[backend]

    def place(self, proxy, rates, full):
        """The table for a joiner: where least comes for what its lines can do. None: none has lines yet."""
        first = self.draw % max(1, len(self.tables))  # each controller begins elsewhere
        used = (self.tables[first:] + self.tables[:first])[: self.open]
        can = {table: sum(table.want.values()) for table in used if table.sent or table.want and not full}
        load = {table: (rates.get(table, 0.0) + proxy.rate) / (able or 1e-9) for table, able in can.items()}
        return min(load, key=load.get, default=None)

"""Which lines stand in which table, and which table a joiner gets."""

from ..records.tables import TableState
from .actor import c, i


class Parts:
    """A zone's tables: one of all listed, as designed, where the channel can bring that to all proxies in
    time; else each of a part, of all zones, by what comes to its users. `usual`: tables in use at most; if
    all controllers' (each begins elsewhere) are few, parts are larger."""

    def __init__(self, hub):
        each = hub.site.proxies // max(1, hub.site.controllers * c.USERS * len(hub.site.zones))
        self.draw, self.tabs, self.of, self.open, self.usual = hub.chance(), [], {}, 1, max(1, each)
        self.many = self.usual * hub.site.controllers // c.COVER

    def deal(self, want, size, rates):
        """Gives each table its part of `want`. `size`: lines of a part, or 0 for no limit."""
        need = max(1, -(-len(want) // size)) if size else 1
        need = need if need <= self.many else min(need, self.usual)
        if need > c.GROWN * len(self.tabs):
            self.tabs += [TableState(i.Table()) for _ in range(need - len(self.tabs))]
            self.open = min(need, self.usual)
        if len(self.tabs) == 1:
            self.tabs[0].want = want
            return self.tabs
        self.of = {be: tab for be, tab in self.of.items() if be.state == "ready"}
        rates = rates if self.open == len(self.tabs) else {}  # else most have no users, all are alike
        some = (sum(rates.get(tab, 0.0) for tab in self.tabs) or 1.0) / len(self.tabs) * c.IDLE
        come = {tab: rates.get(tab, 0.0) + some for tab in self.tabs}
        for zone in dict.fromkeys(be.zone for be in want):
            self.level({be: w for be, w in want.items() if be.zone is zone}, come)
        for tab in self.tabs:
            tab.want = {be: 0 for be in tab.sent if self.of.get(be, tab) is not tab}
        for be, w in want.items():
            self.of[be].want[be] = w
        few = sorted(want, key=lambda be: -want[be])[: c.LINES_LEAST]
        for tab in [tab for tab in self.tabs if not any(tab.want.values())]:
            tab.want.update((be, want[be]) for be in few)  # against proxies without a line to pick
        return self.tabs

    def level(self, group, come):
        """Backends of one zone: new ones go where most is lacking, and from where most is over if much is."""
        each = sum(group.values()) / sum(come.values())  # weight for what comes
        lack = {tab: rate * each for tab, rate in come.items()}
        for be in [be for be in group if be in self.of]:
            lack[self.of[be]] -= group[be]
        for be in sorted((be for be in group if be not in self.of), key=lambda be: (-group[be], be.draw)):
            self.of[be] = tab = max(lack, key=lack.get)
            lack[tab] -= group[be]
        for _ in range(c.MOVES):
            poor, rich = max(lack, key=lack.get), min(lack, key=lack.get)
            gap = lack[poor] - lack[rich]
            fit = [be for be, w in group.items() if self.of[be] is rich and w < gap]
            if lack[poor] <= c.LACKS * come[poor] * each or not fit:
                break
            self.of[be := min(fit, key=lambda be: abs(group[be] - gap / 2))] = poor
            lack[poor] -= group[be]
            lack[rich] += group[be]

    def place(self, px, rates, full):
        """The table for a joiner: where least comes for what its lines can do. None: none has lines yet."""
        first = self.draw % max(1, len(self.tabs))  # each controller begins elsewhere
        used = (self.tabs[first:] + self.tabs[:first])[: self.open]
        can = {tab: sum(tab.want.values()) for tab in used if tab.sent or tab.want and not full}
        return min(can, key=lambda tab: (rates.get(tab, 0.0) + px.rate) / (can[tab] or 1e-9), default=None)

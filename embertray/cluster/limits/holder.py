"""What one member may let its proxies use: its floor, and a loan while its term runs. Whatever its proxies
may act on, told or still on its way, here or gone, comes to no more; nobody is told more than that leaves
room for, so some are lowered before others rise."""

from .messages import Ask

WAITS = 2  # asks that one who came waits for its whole part; then it takes what there is
KEPT = 16  # asks whose grants are still taken: past any term


class Holder:
    """`floors`: limit -> units. The controller says who came (`joined`), who left (`left`), what a proxy acts
    on (`acts`), and sends what `orders` gives."""

    def __init__(self, me, floors, pace, life=0):
        self.me, self.floors, self.pace, self.life, self.seq, self.applied = me, floors, pace, life, life, 0
        self.loan, self.until, self.asks, self.listed = dict.fromkeys(floors, 0), 0, {}, {}
        self.wants, self.heard = dict.fromkeys(floors, 0), {}
        self.here, self.acted, self.away = (
            {},
            set(),
            {},
        )  # here: proxy -> our last ask when it came; away: the ask that first said so, or None
        self.may = {limit: {} for limit in floors}  # proxy -> most units that it may act on by our word
        self.sent = {limit: {} for limit in floors}  # proxy -> units last sent

    # ---- what the controller says

    def joined(self, proxy):
        """It acts on what another told it, until it acts on ours."""
        self.here[proxy] = self.seq
        self.away.pop(proxy, None)
        for sent in self.sent.values():
            sent.pop(proxy, None)

    def left(self, proxy):
        """Its stream broke. It goes on with what it was told, and stays on our account until another has
        it.
        """
        self.here.pop(proxy, None)
        self.acted.discard(proxy)
        if any(may.get(proxy) for may in self.may.values()):
            self.away[proxy] = None
        else:
            self.drop(proxy)

    def gone(self, proxy):
        """Told by operators, or by the list of proxies: it is no more."""
        self.here.pop(proxy, None)
        self.acted.discard(proxy)
        self.drop(proxy)

    def drop(self, proxy):
        self.away.pop(proxy, None)
        for known in (*self.may.values(), *self.sent.values()):
            known.pop(proxy, None)

    def acts(self, limit, proxy, units):
        """It answered the order of so many units."""
        if proxy in self.here:
            self.acted.add(proxy)
            if self.sent[limit].get(proxy) == units:
                self.may[limit][proxy] = units

    def orders(self, now):
        """[(limit, proxy, units)] to be sent now: lower ones at any time, higher ones while the term runs and
        as far as there is room.
        """
        found = []
        for limit, may in self.may.items():
            if not self.listed:
                continue
            share = self.floors[limit] + self.loan[limit]
            part, room = share // len(self.listed), share - sum(may.values())
            for proxy in sorted(self.here.keys() & self.listed.keys()):
                old, units = may.get(proxy, 0), part
                if proxy not in self.acted and self.seq - self.here[proxy] >= WAITS:
                    units = min(
                        part, old + max(0, room)
                    )  # if need be nothing: its former member's units are free once it acts on ours
                if (
                    units == self.sent[limit].get(proxy)
                    or units > old
                    and (now >= self.until or units - old > room)
                ):
                    continue
                if proxy not in self.acted and now >= self.until:
                    continue  # it keeps what another told it
                room -= max(0, units - old)
                may[proxy], self.sent[limit][proxy] = max(old, units), units
                found.append((limit, proxy, units))
        return found

    # ---- asks and grants

    def ask(self, now, tenure, leading):
        self.seq += 1
        for proxy, since in self.away.items():
            if since is None:
                self.away[proxy] = self.seq
        parts = {
            limit: {proxy: may.get(proxy, 0) for proxy in self.here.keys() | self.away.keys()}
            for limit, may in self.may.items()
        }
        self.asks = {seq: row for seq, row in self.asks.items() if seq > self.seq - KEPT}
        self.asks[self.seq] = now, tenure, dict.fromkeys(sorted(self.here.keys() | self.away.keys()))
        return Ask(
            self.life,
            self.seq,
            tenure,
            leading,
            self.applied,
            dict(self.wants),
            parts,
            frozenset(self.acted),
            dict(self.heard),
        )

    def heard_from(self, name, ask):
        """Another's ask: who has come to it that left us, if it knew then that it had left."""
        self.heard[name] = max(self.heard.get(name, 0), ask.seq)
        for proxy in ask.acted & frozenset(self.away):
            if self.away[proxy] is not None and ask.heard.get(self.me, 0) >= self.away[proxy]:
                self.drop(proxy)

    def granted(self, now, grant, tenure):
        """True if it is taken: of an ask of ours to this leader, later than what is in force, and its term
        still runs.
        """
        row = self.asks.get(grant.seq)
        if (
            row is None
            or grant.seq <= self.applied
            or grant.ballot != tenure
            or row[1] != tenure
            or now >= row[0] + self.pace.term
        ):
            return False
        self.applied, self.until, self.loan, self.listed = (
            grant.seq,
            row[0] + self.pace.term,
            dict(grant.amounts),
            row[2],
        )
        return True

"""The leader's ledger: what each member may still use of each limit, whoever is reached and whoever is not.
Nothing is lent that is charged.

A member that asks is charged the most of what its proxies may act on and of the grants that it may yet apply.
One that is silent is charged all of that for the outer term, as it may raise its proxies until then; after
that what those of its proxies may act on that nobody else has: it raises none of them any more, and they keep
what they were told. So with the proxies of a former life. A member that this leader has not heard may use all
that nobody is known to use, until the outer term is over and none of its proxies is at large.
"""

from .divide import divide


class Line:
    """One member as the leader knows it. `grants`: ask's number -> (amounts, proxies that the share is
    divided among), of those that may still be applied. `former_lives`: (last ask of a former life, its grants
    or None, when a later life was heard of)."""

    __slots__ = ("ask", "at", "grants", "former_lives")

    def __init__(self):
        self.ask, self.at, self.grants, self.former_lives = None, None, {}, []


class Ledger:
    """Of one tenure. `pools`, `floors`: limit -> units that are lent, that each member has anyway. `before`:
    name -> the last Ask of each of its lives that we heard of before, in their order."""

    def __init__(self, names, pools, floors, pace, now, before=None):
        self.names, self.pools, self.floors, self.pace, self.began = names, pools, floors, pace, now
        self.lines, self.before = (
            {name: Line() for name in names},
            {name: asks[-1] for name, asks in (before or {}).items()},
        )
        for name, asks in (before or {}).items():
            self.lines[name].former_lives = [(ask, None, now) for ask in asks[:-1]]

    def asked(self, now, name, ask):
        """False if it is old."""
        line = self.lines[name]
        if line.ask is not None and ask.seq <= line.ask.seq:
            return False
        former = line.ask if line.ask is not None else self.before.get(name)
        if former is not None and former.life < ask.life:  # its proxies keep what that life told them
            line.former_lives.append((former, line.grants if line.ask is not None else None, now))
            line.grants = {}
        line.ask, line.at = ask, now
        line.grants = {seq: row for seq, row in line.grants.items() if seq >= ask.applied}
        return True

    def at_large(self, name, ask):
        """Proxies of a silent life that nobody else is known to have: another has one if it says so after it
        heard that ask.
        """
        large = {proxy for parts in ask.parts.values() for proxy in parts}
        for other, line in self.lines.items():
            said = line.ask
            if said is not None and (
                said.life > ask.life if other == name else said.heard.get(name, 0) >= ask.seq
            ):
                large -= said.acted
        return large

    def behind(self, name, seq):
        """Whether another has heard a later ask of it than this one: proxies may have been given up to it
        that we know nothing of.
        """
        return any(
            line.ask is not None and line.ask.heard.get(name, 0) > seq
            for other, line in self.lines.items()
            if other != name
        )

    def charge(self, now, name, limit):
        """Units of the pool that this member and its former lives may use now; None: not known, so all that
        is left.
        """
        line = self.lines[name]
        if line.ask is None:
            before = self.before.get(name)
            settled = (
                before is not None
                and now - self.began > self.pace.outer
                and not self.behind(name, before.seq)
                and not self.at_large(name, before)
            )
            if not settled or any(self.at_large(name, ask) for ask, _, _ in line.former_lives):
                return None
            return 0
        charges = [self.of_life(now, name, limit, line.ask, line.grants, line.at)]
        charges += [self.of_life(now, name, limit, *former) for former in line.former_lives]
        return None if None in charges else sum(charges)

    def of_life(self, now, name, limit, ask, grants, at):
        """`grants`: None if another leader gave them."""
        parts, floor = ask.parts.get(limit, {}), self.floors[limit]
        if (
            now - at <= self.pace.outer
            or self.lines[name].ask is not None
            and ask.life == self.lines[name].ask.life
            and self.behind(name, ask.seq)
        ):
            if grants is None:
                return None
            return max([sum(parts.values()) - floor, *(amounts[limit] for amounts, _ in grants.values()), 0])
        large = self.at_large(name, ask)
        if grants is None:
            return None if large else 0
        each = max(
            ((floor + amounts[limit]) // count for amounts, count in grants.values() if count), default=0
        )
        return max(0, sum(max(parts.get(proxy, 0), each) for proxy in large) - floor)

    def free(self, now, limit, but):
        """Units that nobody but `but` may use; what it has itself where somebody is not known."""
        charges = [self.charge(now, name, limit) for name in self.names if name != but]
        if None in charges:
            return self.charge(now, but, limit) or 0
        return max(0, self.pools[limit] - sum(charges))

    def grant(self, now, name):
        """Amounts for the member that has just asked: what its demand is due, as far as others have given it
        up.
        """
        line, amounts = self.lines[name], {}
        for limit, pool in self.pools.items():
            wants = {
                other: row.ask.wants.get(limit, 0)
                for other, row in self.lines.items()
                if row.ask is not None and now - row.at <= self.pace.outer
            }
            charged = [self.of_life(now, name, limit, *former) for former in line.former_lives]
            room = 0 if None in charged else self.free(now, limit, name) - sum(charged)
            amounts[limit] = max(0, min(divide(pool, wants)[name], room))
        line.grants[line.ask.seq] = amounts, len(next(iter(line.ask.parts.values()), ()))
        line.former_lives = [
            former
            for former in line.former_lives
            if now - former[2] <= self.pace.outer or self.at_large(name, former[0])
        ]
        return amounts

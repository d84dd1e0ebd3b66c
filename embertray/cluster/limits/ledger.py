"""The leader's ledger: what each member may still use of each limit, whoever is reached and whoever is not.
Nothing is lent that is charged.

A member that asks is charged the most of what its proxies may act on and of the grants that it may yet apply.
One that is silent is charged all of that for the outer term, as it may raise its proxies until then; after
that what those of its proxies may act on that nobody else has: it raises none of them any more, and they keep
what they were told. So with the proxies of a former life. A member that this leader has not heard may use all
that nobody is known to use, until the outer term is over and none of its proxies is at large.
"""

from .divide import divide


class MemberAccount:
    """One member as the leader knows it. `grants`: ask's number -> (amounts, proxies that the share is
    divided among), of those that may still be applied. `former_incarnations`: (last ask of one, its grants
    or None, when a later life was heard of)."""

    __slots__ = ("request", "heard_at", "grants", "former_incarnations")

    def __init__(self):
        self.request, self.heard_at, self.grants, self.former_incarnations = None, None, {}, []


class Ledger:
    """Of one tenure. `pools`, `floors`: limit -> units that are lent, that each member has anyway. `before`:
    name -> the last Ask of each of its lives that we heard of before, in their order."""

    def __init__(self, names, pools, floors, config, now, before=None):
        self.names, self.pools, self.floors, self.config, self.began_at = names, pools, floors, config, now
        self.accounts, self.before = (
            {name: MemberAccount() for name in names},
            {name: asks[-1] for name, asks in (before or {}).items()},
        )
        for name, asks in (before or {}).items():
            self.accounts[name].former_incarnations = [(ask, None, now) for ask in asks[:-1]]

    def record_request(self, now, name, ask):
        """False if it is old."""
        line = self.accounts[name]
        if line.request is not None and ask.sequence <= line.request.sequence:
            return False
        former = line.request if line.request is not None else self.before.get(name)
        if (
            former is not None and former.incarnation < ask.incarnation
        ):  # its proxies keep what that life told them
            line.former_incarnations.append((former, line.grants if line.request is not None else None, now))
            line.grants = {}
        line.request, line.heard_at = ask, now
        line.grants = {seq: row for seq, row in line.grants.items() if seq >= ask.applied}
        return True

    def unclaimed_proxies(self, name, ask):
        """Proxies of a silent life that nobody else is known to have: another has one if it says so after it
        heard that ask.
        """
        large = {proxy for parts in ask.allotments.values() for proxy in parts}
        for other, line in self.accounts.items():
            said = line.request
            if said is not None and (
                said.incarnation > ask.incarnation
                if other == name
                else said.last_heard.get(name, 0) >= ask.sequence
            ):
                large -= said.acknowledged
        return large

    def is_behind(self, name, seq):
        """Whether another has heard a later ask of it than this one: proxies may have been given up to it
        that we know nothing of.
        """
        return any(
            line.request is not None and line.request.last_heard.get(name, 0) > seq
            for other, line in self.accounts.items()
            if other != name
        )

    def charge(self, now, name, limit):
        """Units of the pool that this member and its former lives may use now; None: not known, so all that
        is left.
        """
        line = self.accounts[name]
        if line.request is None:
            before = self.before.get(name)
            settled = (
                before is not None
                and now - self.began_at > self.config.outer_term
                and not self.is_behind(name, before.sequence)
                and not self.unclaimed_proxies(name, before)
            )
            if not settled or any(
                self.unclaimed_proxies(name, ask) for ask, _, _ in line.former_incarnations
            ):
                return None
            return 0
        charges = [self.charge_of_incarnation(now, name, limit, line.request, line.grants, line.heard_at)]
        charges += [
            self.charge_of_incarnation(now, name, limit, *former) for former in line.former_incarnations
        ]
        return None if None in charges else sum(charges)

    def charge_of_incarnation(self, now, name, limit, ask, grants, at):
        """`grants`: None if another leader gave them."""
        parts, floor = ask.allotments.get(limit, {}), self.floors[limit]
        if (
            now - at <= self.config.outer_term
            or self.accounts[name].request is not None
            and ask.incarnation == self.accounts[name].request.incarnation
            and self.is_behind(name, ask.sequence)
        ):
            if grants is None:
                return None
            return max([sum(parts.values()) - floor, *(amounts[limit] for amounts, _ in grants.values()), 0])
        large = self.unclaimed_proxies(name, ask)
        if grants is None:
            return None if large else 0
        each = max(
            ((floor + amounts[limit]) // count for amounts, count in grants.values() if count), default=0
        )
        return max(0, sum(max(parts.get(proxy, 0), each) for proxy in large) - floor)

    def free_units(self, now, limit, but):
        """Units that nobody but `but` may use; what it has itself where somebody is not known."""
        charges = [self.charge(now, name, limit) for name in self.names if name != but]
        if None in charges:
            return self.charge(now, but, limit) or 0
        return max(0, self.pools[limit] - sum(charges))

    def make_grant(self, now, name):
        """Amounts for the member that has just asked: what its demand is due, as far as others have given it
        up.
        """
        line, amounts = self.accounts[name], {}
        for limit, pool in self.pools.items():
            wants = {
                other: row.request.demand.get(limit, 0)
                for other, row in self.accounts.items()
                if row.request is not None and now - row.heard_at <= self.config.outer_term
            }
            charged = [
                self.charge_of_incarnation(now, name, limit, *former) for former in line.former_incarnations
            ]
            room = 0 if None in charged else self.free_units(now, limit, name) - sum(charged)
            amounts[limit] = max(0, min(divide(pool, wants)[name], room))
        line.grants[line.request.sequence] = amounts, len(next(iter(line.request.allotments.values()), ()))
        line.former_incarnations = [
            former
            for former in line.former_incarnations
            if now - former[2] <= self.config.outer_term or self.unclaimed_proxies(name, former[0])
        ]
        return amounts

"""The leader's ledger: what each member may still use of each limit, whether it is heard or not.

Rule: nothing is lent that is charged to another member.

- A member that is heard is charged the most of what its proxies may act on, and of the loans that it may
  still apply.
- One that is silent is charged the same for the outer term, as it may raise its proxies until then. After
  that it is charged what those of its proxies may act on that no other member has claimed: it raises none of
  them any more, and proxies keep the quota that they were sent.
- So is each former incarnation of a member.
- A member that this leader has never heard may use all that nobody is known to use, until the outer term is
  over and none of its proxies is unclaimed.
"""

from .accounts import Accounts, Grant
from .divide import divide


class Ledger(Accounts):
    """What is charged to each member, and what is lent to whoever asks."""

    # ---- charges

    def charge(self, now, name, limit):
        """Return what a member and its former incarnations may use now, beyond the floor.

        Args:
            now: The time, ns.
            name: The member.
            limit: The limit.

        Returns:
            Units; None if it is not known, so that it may be all that is left.
        """
        account = self.accounts[name]
        if account.request is None:
            return self.charge_unheard(now, name)
        records = [account.current, *account.former_incarnations]
        charges = [self.charge_of_incarnation(now, name, limit, record) for record in records]
        return None if None in charges else sum(charges)

    def charge_unheard(self, now, name):
        """Return the charge of a member that this leader has not heard: 0, or None as in `charge`.

        Args:
            now: The time, ns.
            name: The member.
        """
        before = self.inherited_requests.get(name)
        if before is None or now - self.began_at <= self.config.drift_adjusted_term:
            return None
        if self.has_missed_request(name, before.sequence) or self.unclaimed_proxies(name, before):
            return None
        former = self.accounts[name].former_incarnations
        if any(self.unclaimed_proxies(name, record.request) for record in former):
            return None
        return 0

    def charge_of_incarnation(self, now, name, limit, record):
        """Return what one incarnation of a member, and the proxies that it left, may use now.

        Args:
            now: The time, ns.
            name: The member.
            limit: The limit.
            record: Its IncarnationRecord.

        Returns:
            Units beyond the floor; None as in `charge`.
        """
        request, grants, _ = record
        allotments = request.allotments.get(limit, {})
        floor = self.floors[limit]
        if self.may_raise_quotas(now, name, record):
            if grants is None:
                return None
            lent = [grant.amounts[limit] for grant in grants.values()]
            return max([sum(allotments.values()) - floor, *lent, 0])
        unclaimed = self.unclaimed_proxies(name, request)
        if grants is None:
            return None if unclaimed else 0
        most_each = max(
            ((floor + grant.amounts[limit]) // grant.proxies for grant in grants.values() if grant.proxies),
            default=0,
        )
        return max(0, sum(max(allotments.get(proxy, 0), most_each) for proxy in unclaimed) - floor)

    def may_raise_quotas(self, now, name, record):
        """Return whether an incarnation may still raise proxies, or have given some up unseen.

        Args:
            now: The time, ns.
            name: The member.
            record: Its IncarnationRecord.
        """
        if now - record.heard_at <= self.config.drift_adjusted_term:
            return True
        latest = self.accounts[name].request
        return (
            latest is not None
            and record.request.incarnation == latest.incarnation
            and self.has_missed_request(name, record.request.sequence)
        )

    # ---- loans

    def free_units(self, now, limit, requester):
        """Return the units that nobody but a member may use.

        Args:
            now: The time, ns.
            limit: The limit.
            requester: The member.

        Returns:
            Units of the pool; where another member's charge is not known, what the member has already.
        """
        charges = [self.charge(now, name, limit) for name in self.names if name != requester]
        if None in charges:
            return self.charge(now, requester, limit) or 0
        return max(0, self.pools[limit] - sum(charges))

    def make_grant(self, now, name):
        """Lend to the member that has just sent a request.

        Args:
            now: The time, ns.
            name: The member.

        Returns:
            limit -> units: what its demand is due, as far as others have given it up.
        """
        account = self.accounts[name]
        amounts = {limit: self.amount_due(now, name, limit) for limit in self.pools}
        proxies = len(next(iter(account.request.allotments.values()), ()))
        account.grants[account.request.sequence] = Grant(amounts, proxies)
        account.former_incarnations = [
            record
            for record in account.former_incarnations
            if now - record.heard_at <= self.config.drift_adjusted_term
            or self.unclaimed_proxies(name, record.request)
        ]
        return amounts

    def amount_due(self, now, name, limit):
        """Return the units of a limit that a member is lent now.

        Args:
            now: The time, ns.
            name: The member.
            limit: The limit.
        """
        demand = {
            other: account.request.demand.get(limit, 0)
            for other, account in self.accounts.items()
            if account.request is not None and now - account.heard_at <= self.config.drift_adjusted_term
        }
        former_charges = [
            self.charge_of_incarnation(now, name, limit, record)
            for record in self.accounts[name].former_incarnations
        ]
        if None in former_charges:
            return 0
        room = self.free_units(now, limit, name) - sum(former_charges)
        return max(0, min(divide(self.pools[limit], demand)[name], room))

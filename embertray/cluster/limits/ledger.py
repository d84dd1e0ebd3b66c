"""The leader's ledger: how much of each limit every member may still use, reachable or not.

No units are granted that are charged to another member.

- A member that the leader hears from is charged the maximum of what its proxies may use and of the grants
  that it may still apply.
- A silent member is charged the same for the drift-adjusted term, because it may raise its proxies' quotas
  until then. Afterwards it cannot raise them any more, but proxies keep the quota that they were sent; so it
  is charged what its proxies may use that no other member has claimed.
- Each former incarnation of a member is charged like a silent member.
- A member that this leader has not heard from may use everything that is not known to be used, until the
  drift-adjusted term has ended and all of its proxies are claimed.
"""

from .accounts import Accounts, Grant
from .divide import divide


class Ledger(Accounts):
    """Charges units to members, and grants units that are not charged to others."""

    # ---- charges

    def charge(self, now, name, limit):
        """Return what a member and its former incarnations may use now beyond the floor.

        Args:
            now: The time, ns.
            name: Name of the member.
            limit: Name of the limit.

        Returns:
            Units; None if unknown, in which case it may be everything that is left.
        """
        account = self.accounts[name]
        if account.request is None:
            return self.charge_unheard(now, name)
        records = [account.current, *account.former_incarnations]
        charges = [self.charge_of_incarnation(now, name, limit, record) for record in records]
        return None if None in charges else sum(charges)

    def charge_unheard(self, now, name):
        """Return the charge of a member that this leader has not heard from: 0, or None as in `charge`.

        Args:
            now: The time, ns.
            name: Name of the member.
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
        """Return what one incarnation of a member, and the proxies to which it sent quotas, may use now.

        Args:
            now: The time, ns.
            name: Name of the member.
            limit: Name of the limit.
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
            granted_units = [grant.amounts[limit] for grant in grants.values()]
            return max([sum(allotments.values()) - floor, *granted_units, 0])
        unclaimed = self.unclaimed_proxies(name, request)
        if grants is None:
            return None if unclaimed else 0
        max_units_each = max(
            ((floor + grant.amounts[limit]) // grant.proxies for grant in grants.values() if grant.proxies),
            default=0,
        )
        return max(0, sum(max(allotments.get(proxy, 0), max_units_each) for proxy in unclaimed) - floor)

    def may_raise_quotas(self, now, name, record):
        """Return whether an incarnation may still raise quotas, or may have given up proxies unnoticed.

        It may raise quotas until the drift-adjusted term has passed since `heard_at`. It may have given up
        proxies unnoticed if it is the current one and another member has received a later request of it.

        Args:
            now: The time, ns.
            name: Name of the member.
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

    # ---- grants

    def free_units(self, now, limit, requester):
        """Return the units that are not charged to any other member.

        Args:
            now: The time, ns.
            limit: Name of the limit.
            requester: Name of the requesting member.

        Returns:
            Units of the pool; if another member's charge is unknown, only the requester's own charge.
        """
        charges = [self.charge(now, name, limit) for name in self.names if name != requester]
        if None in charges:
            return self.charge(now, requester, limit) or 0
        return max(0, self.pools[limit] - sum(charges))

    def make_grant(self, now, name):
        """Compute and record the grant for the member that has just sent a request.

        Args:
            now: The time, ns.
            name: Name of the member.

        Returns:
            limit -> units: its fair share by demand, as far as other members have released it.
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
        """Return the units of a limit to grant to a member now.

        Args:
            now: The time, ns.
            name: Name of the member.
            limit: Name of the limit.
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
        available = self.free_units(now, limit, name) - sum(former_charges)
        return max(0, min(divide(self.pools[limit], demand)[name], available))

"""What the leader knows about each member: its last request, its grants and its former incarnations."""

from typing import NamedTuple

from .messages import QuotaRequest


class Grant(NamedTuple):
    """Units that were granted and may still be applied.

    Attributes:
        amounts: limit -> units.
        proxies: Number of proxies among which the member divides its share.
    """

    amounts: dict
    proxies: int


class IncarnationRecord(NamedTuple):
    """What is known about one incarnation of a member.

    Attributes:
        request: Its last QuotaRequest.
        grants: Sequence number of the request -> Grant; None if another leader granted them.
        heard_at: When it was last heard, ns; for a former incarnation, when a later one was first heard of.
    """

    request: QuotaRequest
    grants: dict | None
    heard_at: int


class MemberAccount:
    """One member's account.

    Attributes:
        request: Its last QuotaRequest, None if this leader has not received one.
        heard_at: When that request arrived, ns.
        grants: Sequence number of the request -> Grant, for grants that may still be applied.
        former_incarnations: IncarnationRecords, oldest first.
    """

    __slots__ = ("request", "heard_at", "grants", "former_incarnations")

    def __init__(self):
        self.request = None
        self.heard_at = None
        self.grants = {}
        self.former_incarnations = []

    @property
    def current(self):
        """The IncarnationRecord of the current incarnation."""
        return IncarnationRecord(self.request, self.grants, self.heard_at)


class Accounts:
    """The accounts of all members during one leader's term, and the proxies that each has claimed.

    Attributes:
        began_at: When the leader's term began, ns.
        accounts: member -> MemberAccount.
        inherited_requests: member -> its last QuotaRequest that was known when the term began.
    """

    def __init__(self, names, pools, floors, config, now, earlier_requests=None):
        """Create the accounts of a new leader.

        Args:
            names: Names of all members.
            pools: limit -> units that can be granted.
            floors: limit -> units that each member may always use.
            config: A LimitsConfig.
            now: The time, ns.
            earlier_requests: member -> the last QuotaRequest of each of its known incarnations, oldest first.
        """
        earlier_requests = earlier_requests or {}
        self.names = names
        self.pools = pools
        self.floors = floors
        self.config = config
        self.began_at = now
        self.accounts = {name: MemberAccount() for name in names}
        self.inherited_requests = {name: requests[-1] for name, requests in earlier_requests.items()}
        for name, requests in earlier_requests.items():
            self.accounts[name].former_incarnations = [
                IncarnationRecord(request, None, now) for request in requests[:-1]
            ]

    def record_request(self, now, name, request):
        """Record a member's request, and drop the grants before the one that it has in force.

        If it is the first request of a later incarnation, the former one becomes an IncarnationRecord.

        Args:
            now: The time, ns.
            name: Name of the member.
            request: Its QuotaRequest.

        Returns:
            False if it is not newer than the last one.
        """
        account = self.accounts[name]
        heard = account.request is not None
        if heard and request.sequence <= account.request.sequence:
            return False
        former = account.request if heard else self.inherited_requests.get(name)
        if former is not None and former.incarnation < request.incarnation:
            # The member's proxies keep the quotas that the former incarnation sent them: it stays charged.
            grants = account.grants if heard else None
            account.former_incarnations.append(IncarnationRecord(former, grants, now))
            account.grants = {}
        account.request = request
        account.heard_at = now
        account.grants = {
            sequence: grant for sequence, grant in account.grants.items() if sequence >= request.applied
        }
        return True

    def unclaimed_proxies(self, name, request):
        """Return the proxies of a request that no other member has claimed since.

        A member claims a proxy by listing it as acknowledged, that is, as using the claimant's quota, in a
        request that it sent after it had received this one. A later incarnation of the same member can claim
        proxies, too.

        Args:
            name: Name of the member that sent the request.
            request: The QuotaRequest.
        """
        unclaimed = {proxy for allotments in request.allotments.values() for proxy in allotments}
        for other, account in self.accounts.items():
            claim = account.request
            if claim is None:
                continue
            if other == name:
                knew = claim.incarnation > request.incarnation
            else:
                knew = claim.last_heard.get(name, 0) >= request.sequence
            if knew:
                unclaimed -= claim.acknowledged
        return unclaimed

    def has_missed_request(self, name, sequence):
        """Return whether another member has received a later request of a member than the leader has.

        That request may have given up proxies to the other member without the leader's knowledge.

        Args:
            name: Name of the member.
            sequence: Sequence number of its last request that the leader has received.
        """
        return any(
            account.request is not None and account.request.last_heard.get(name, 0) > sequence
            for other, account in self.accounts.items()
            if other != name
        )

"""What the leader knows of each member: its last request, its loans, its former incarnations."""

from typing import NamedTuple

from .messages import QuotaRequest


class Grant(NamedTuple):
    """Units that were granted and may still be applied.

    Attributes:
        amounts: limit -> units.
        proxies: Among how many proxies the member divides its share.
    """

    amounts: dict
    proxies: int


class IncarnationRecord(NamedTuple):
    """What is known of one incarnation of a member.

    Attributes:
        request: Its last QuotaRequest.
        grants: Sequence number of the request -> Loan; None if another leader granted them.
        heard_at: When it was last heard; of a former incarnation, when a later one was first heard of. ns.
    """

    request: QuotaRequest
    grants: dict | None
    heard_at: int


class MemberAccount:
    """One member's account.

    Attributes:
        request: Its last QuotaRequest, None if this leader has not heard it.
        heard_at: When that came, ns.
        grants: Sequence number of the request -> Loan, of those that may still be applied.
        former_incarnations: IncarnationRecords, in their order.
    """

    __slots__ = ("request", "heard_at", "grants", "former_incarnations")

    def __init__(self):
        self.request = None
        self.heard_at = None
        self.grants = {}
        self.former_incarnations = []

    @property
    def current(self):
        """The IncarnationRecord of the incarnation that was heard last."""
        return IncarnationRecord(self.request, self.grants, self.heard_at)


class Accounts:
    """The accounts of all members under one leader's tenure, and which proxies each has claimed."""

    def __init__(self, names, pools, floors, config, now, earlier_requests=None):
        """Begin a tenure.

        Args:
            names: All members.
            pools: limit -> units that are lent.
            floors: limit -> units that each member has anyway.
            config: A LimitsConfig.
            now: The time, ns.
            earlier_requests: member -> the last QuotaRequest of each of its incarnations that was heard of
                before, in their order.
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
        """Enter a member's request.

        Args:
            now: The time, ns.
            name: The member.
            request: Its QuotaRequest.

        Returns:
            False if it is no later than the last one.
        """
        account = self.accounts[name]
        heard = account.request is not None
        if heard and request.sequence <= account.request.sequence:
            return False
        former = account.request if heard else self.inherited_requests.get(name)
        if former is not None and former.incarnation < request.incarnation:
            # Its proxies keep the quota that the former incarnation sent them.
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

        Another member has claimed a proxy if it says that the proxy acts on its word, in a request that knew
        of this one.

        Args:
            name: The member whose request it is.
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
        """Return whether another member has heard a later request of a member than the leader has.

        Proxies may then have been given up to that member unseen.

        Args:
            name: The member.
            sequence: Sequence number of its last request here.
        """
        return any(
            account.request is not None and account.request.last_heard.get(name, 0) > sequence
            for other, account in self.accounts.items()
            if other != name
        )

"""One member's quota: its requests, and the grant that is in force."""

from typing import NamedTuple

from .messages import QuotaRequest
from .proxy_quotas import ProxyQuotas

REQUESTS_KEPT = 16  # requests whose grants are still accepted; more than are sent in a lease term


class SentRequest(NamedTuple):
    """A request whose grant may still arrive.

    Attributes:
        sent_at: When it was sent, ns; the term of its grant starts then.
        leader_ballot: Ballot of the addressed leader.
        proxies: The proxies that it listed, as keys.
    """

    sent_at: int
    leader_ballot: int
    proxies: dict


class QuotaHolder(ProxyQuotas):
    """One member's floor and grant, divided among its proxies by ProxyQuotas.

    Attributes:
        demand: limit -> units wanted; set by the caller.
        applied: Sequence number of the request whose grant is in force.
        sent_requests: Sequence number -> SentRequest.
        last_heard: member -> sequence number of its last request.
    """

    def __init__(self, name, floors, config, incarnation=0):
        """Start with the floors and without proxies.

        Args:
            name: Name of this member.
            floors: limit -> units that it may always use.
            config: A LimitsConfig.
            incarnation: Its incarnation; requests are numbered from there.
        """
        super().__init__(floors, sequence=incarnation)
        self.name = name
        self.config = config
        self.incarnation = incarnation
        self.demand = dict.fromkeys(floors, 0)
        self.applied = 0
        self.sent_requests = {}
        self.last_heard = {}

    def make_request(self, now, leader_ballot, leading):
        """Return the next QuotaRequest, and record it as sent.

        Args:
            now: The time, ns.
            leader_ballot: Ballot of the addressed leader.
            leading: Whether this member is the leader itself.
        """
        self.sequence += 1
        for proxy, listed_since in self.departed.items():
            if listed_since is None:
                self.departed[proxy] = self.sequence
        proxies = self.connected.keys() | self.departed.keys()
        allotments = {
            limit: {proxy: allowed.get(proxy, 0) for proxy in proxies}
            for limit, allowed in self.allowed.items()
        }
        oldest = self.sequence - REQUESTS_KEPT
        self.sent_requests = {
            sequence: sent for sequence, sent in self.sent_requests.items() if sequence > oldest
        }
        self.sent_requests[self.sequence] = SentRequest(now, leader_ballot, dict.fromkeys(sorted(proxies)))
        return QuotaRequest(
            self.incarnation,
            self.sequence,
            leader_ballot,
            leading,
            self.applied,
            dict(self.demand),
            allotments,
            frozenset(self.acknowledged),
            dict(self.last_heard),
        )

    def on_peer_request(self, name, request):
        """Remove departed proxies that another member has claimed.

        A member claims a proxy if the proxy uses its quota, and the member knew that the proxy had left this
        one.

        Args:
            name: Name of the other member.
            request: Its QuotaRequest.
        """
        self.last_heard[name] = max(self.last_heard.get(name, 0), request.sequence)
        for proxy in request.acknowledged & frozenset(self.departed):
            listed_since = self.departed[proxy]
            if listed_since is not None and request.last_heard.get(self.name, 0) >= listed_since:
                self.forget_proxy(proxy)

    def apply_grant(self, now, grant, leader_ballot):
        """Apply a grant if it is newer than the one in force, from the known leader, and has not expired.

        Args:
            now: The time, ns.
            grant: The QuotaGrant.
            leader_ballot: Ballot of the latest known leader.

        Returns:
            Whether it was applied.
        """
        sent = self.sent_requests.get(grant.sequence)
        if sent is None or grant.sequence <= self.applied:
            return False
        if grant.ballot != leader_ballot or sent.leader_ballot != leader_ballot:
            return False
        if now >= sent.sent_at + self.config.lease_term:
            return False
        self.applied = grant.sequence
        self.grant_expires_at = sent.sent_at + self.config.lease_term
        self.granted = dict(grant.amounts)
        self.divided_among = sent.proxies
        return True

"""What each proxy of one member may use, and which quotas to send now.

Rule: the units that its proxies may act on, whether they have acknowledged them or not and whether they are
connected or have left, come to no more than floor and loan. So some are lowered before others are raised.
Reason: a proxy keeps the quota that it was sent, whatever becomes of this member.
"""

from typing import NamedTuple

FULL_SHARE_WAIT_REQUESTS = (
    2  # requests that a proxy which joined waits for its whole part; then it takes what is left
)


class QuotaUpdate(NamedTuple):
    """A quota to send to a proxy.

    Attributes:
        limit: The limit.
        proxy: The proxy.
        units: What it may use from now on.
    """

    limit: str
    proxy: str
    units: int


class ProxyQuotas:
    """The proxies of one member, and the quota of each.

    The caller says which proxies join (`proxy_joined`), leave (`proxy_left`) and acknowledge a quota
    (`proxy_acknowledged`), and sends what `quota_updates` returns.

    Attributes:
        granted: limit -> units lent by the grant in force.
        grant_expires_at: Until when proxies may be raised by it, ns.
        divided_among: The proxies that it is divided among, as keys.
        sequence: Sequence number of this member's last request.
        connected: proxy -> sequence number of the last request when it joined.
        acknowledged: Connected proxies that act on this member's word.
        departed: proxy that left -> sequence number of the request that first listed it so, None before.
        allowed: limit -> proxy -> most units that it may act on by this member's word.
        last_sent: limit -> proxy -> units sent last.
    """

    def __init__(self, floors, sequence):
        """Begin with the floors and without proxies.

        Args:
            floors: limit -> units that this member has anyway.
            sequence: What its requests are numbered from.
        """
        self.floors = floors
        self.granted = dict.fromkeys(floors, 0)
        self.grant_expires_at = 0
        self.divided_among = {}
        self.sequence = sequence
        self.connected = {}
        self.acknowledged = set()
        self.departed = {}
        self.allowed = {limit: {} for limit in floors}
        self.last_sent = {limit: {} for limit in floors}

    # ---- proxies

    def proxy_joined(self, proxy):
        """Note that a proxy has connected. It acts on another member's word until it acknowledges ours.

        Args:
            proxy: The proxy.
        """
        self.connected[proxy] = self.sequence
        self.departed.pop(proxy, None)
        for sent in self.last_sent.values():
            sent.pop(proxy, None)

    def proxy_left(self, proxy):
        """Note that a proxy's connection broke.

        It goes on with the quota that it was sent, and stays on our account until another member has it.

        Args:
            proxy: The proxy.
        """
        self.connected.pop(proxy, None)
        self.acknowledged.discard(proxy)
        if any(allowed.get(proxy) for allowed in self.allowed.values()):
            self.departed[proxy] = None
        else:
            self.forget_proxy(proxy)

    def proxy_removed(self, proxy):
        """Note that a proxy is no more, by the word of operators or of the list of proxies.

        Args:
            proxy: The proxy.
        """
        self.connected.pop(proxy, None)
        self.acknowledged.discard(proxy)
        self.forget_proxy(proxy)

    def forget_proxy(self, proxy):
        """Take a proxy off our account.

        Args:
            proxy: The proxy.
        """
        self.departed.pop(proxy, None)
        for units_by_proxy in (*self.allowed.values(), *self.last_sent.values()):
            units_by_proxy.pop(proxy, None)

    def proxy_acknowledged(self, limit, proxy, units):
        """Note that a proxy acts on a quota.

        Args:
            limit: The limit.
            proxy: The proxy.
            units: The quota that it acknowledged.
        """
        if proxy not in self.connected:
            return
        self.acknowledged.add(proxy)
        if self.last_sent[limit].get(proxy) == units:
            self.allowed[limit][proxy] = units

    # ---- quotas

    def quota_updates(self, now):
        """Return the QuotaUpdates to send now; they count as sent.

        Lower quotas are sent at any time, higher ones while the loan runs and as far as there is room.

        Args:
            now: The time, ns.
        """
        if not self.divided_among:
            return []
        return [update for limit in self.allowed for update in self.updates_of_limit(now, limit)]

    def updates_of_limit(self, now, limit):
        """Return the QuotaUpdates of one limit.

        Args:
            now: The time, ns.
            limit: The limit.
        """
        allowed = self.allowed[limit]
        last_sent = self.last_sent[limit]
        share = self.floors[limit] + self.granted[limit]
        equal_share = share // len(self.divided_among)
        unallotted = share - sum(allowed.values())
        updates = []
        for proxy in sorted(self.connected.keys() & self.divided_among.keys()):
            current = allowed.get(proxy, 0)
            units = self.units_for(proxy, equal_share, current, unallotted)
            if units == last_sent.get(proxy) or not self.may_send(now, proxy, units - current, unallotted):
                continue
            unallotted -= max(0, units - current)
            allowed[proxy] = max(current, units)
            last_sent[proxy] = units
            updates.append(QuotaUpdate(limit, proxy, units))
        return updates

    def units_for(self, proxy, equal_share, current, unallotted):
        """Return the quota that a proxy is to have.

        Guards against two members that have exchanged proxies, each waiting for the other to claim its own,
        which would show as units that nobody uses: a proxy that has waited takes what is left, if need be
        nothing, and acknowledges it. That frees the units at its former member.

        Args:
            proxy: The proxy.
            equal_share: Its equal part of the share, units.
            current: The most that it may act on by our word already, units.
            unallotted: Units of the share that are not allotted.
        """
        waited = self.sequence - self.connected[proxy] >= FULL_SHARE_WAIT_REQUESTS
        if proxy not in self.acknowledged and waited:
            return min(equal_share, current + max(0, unallotted))
        return equal_share

    def may_send(self, now, proxy, increase, unallotted):
        """Return whether a quota may be sent now.

        Args:
            now: The time, ns.
            proxy: The proxy.
            increase: Units by which it is above what the proxy may act on already.
            unallotted: Units of the share that are not allotted.
        """
        grant_expired = now >= self.grant_expires_at
        if increase > 0 and (grant_expired or increase > unallotted):
            return False
        # One that does not act on our word keeps what another member sent it once the loan has ended.
        return proxy in self.acknowledged or not grant_expired

"""Divides one member's share among its proxies, and decides which quotas to send.

The units that its proxies may use, acknowledged or not, connected or departed, never exceed the floor plus
the grant. So some quotas are lowered before others are raised. A proxy keeps the quota that it was sent,
whatever happens to this member.
"""

from typing import NamedTuple

# A newly connected proxy waits for its full share for this many requests, then takes what is left.
FULL_SHARE_WAIT_REQUESTS = 2


class QuotaUpdate(NamedTuple):
    """A quota to send to a proxy.

    Attributes:
        limit: The limit.
        proxy: The proxy.
        units: Its new quota, units.
    """

    limit: str
    proxy: str
    units: int


class ProxyQuotas:
    """The proxies of one member, and the quota of each.

    The caller reports which proxies join (`proxy_joined`), leave (`proxy_left`) and acknowledge a quota
    (`proxy_acknowledged`), and sends the updates that `quota_updates` returns.

    Attributes:
        granted: limit -> units of the grant in force.
        grant_expires_at: Until when quotas may be raised by that grant, ns.
        divided_among: The proxies among which it is divided, as keys.
        sequence: Sequence number of this member's last request.
        connected: proxy -> sequence number of the last request when it joined.
        acknowledged: Connected proxies that use a quota from this member.
        departed: proxy that left -> sequence number of the first request that listed it so; None before.
        allowed: limit -> proxy -> maximum units that it may use by quotas from this member.
        last_sent: limit -> proxy -> units sent last.
    """

    def __init__(self, floors, sequence):
        """Start with the floors and without proxies.

        Args:
            floors: limit -> units that this member may always use.
            sequence: Number after which its requests are numbered.
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
        """Record that a proxy has connected. Until it acknowledges a quota it may use another member's.

        Args:
            proxy: The proxy.
        """
        self.connected[proxy] = self.sequence
        self.departed.pop(proxy, None)
        for sent in self.last_sent.values():
            sent.pop(proxy, None)

    def proxy_left(self, proxy):
        """Record that a proxy's connection broke.

        It keeps using its last quota, and counts against this member's share until another member claims it.

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
        """Record that a proxy no longer exists, according to operators or the list of proxies.

        Args:
            proxy: The proxy.
        """
        self.connected.pop(proxy, None)
        self.acknowledged.discard(proxy)
        self.forget_proxy(proxy)

    def forget_proxy(self, proxy):
        """Remove a proxy, so that it no longer counts against this member's share.

        Args:
            proxy: The proxy.
        """
        self.departed.pop(proxy, None)
        for units_by_proxy in (*self.allowed.values(), *self.last_sent.values()):
            units_by_proxy.pop(proxy, None)

    def proxy_acknowledged(self, limit, proxy, units):
        """Record that a proxy uses a quota.

        Only the acknowledgement of the quota that was sent last lowers the units that the proxy may use:
        after an earlier one it may still switch to the last.

        Args:
            limit: The limit.
            proxy: The proxy.
            units: The acknowledged quota, units.
        """
        if proxy not in self.connected:
            return
        self.acknowledged.add(proxy)
        if self.last_sent[limit].get(proxy) == units:
            self.allowed[limit][proxy] = units

    # ---- quotas

    def quota_updates(self, now):
        """Return the QuotaUpdates to send now, and record them as sent.

        Lower quotas are sent at any time, higher ones only while the grant is valid and units are unallotted.

        Args:
            now: The time, ns.
        """
        if not self.divided_among:
            return []
        return [update for limit in self.allowed for update in self.updates_of_limit(now, limit)]

    def updates_of_limit(self, now, limit):
        """Return the QuotaUpdates of one limit, and record them as sent.

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
        """Return the quota that a proxy should have, units.

        If two members exchange proxies, each may wait for the other to claim its former proxies, and the
        units would stay unused. A proxy that has waited long enough is therefore given what is left, possibly
        nothing; its acknowledgement releases the units at its former member.

        Args:
            proxy: The proxy.
            equal_share: Its equal part of the member's share, units.
            current: The maximum that it may already use by quotas from this member, units.
            unallotted: Units of the member's share that are not allotted.
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
            increase: Units by which it exceeds what the proxy may already use.
            unallotted: Units of the member's share that are not allotted.
        """
        grant_expired = now >= self.grant_expires_at
        if increase > 0 and (grant_expired or increase > unallotted):
            return False
        # After the grant has expired, a proxy that still uses another member's quota keeps that quota.
        return proxy in self.acknowledged or not grant_expired

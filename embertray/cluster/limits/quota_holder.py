"""What one member may let its proxies use: its floor, and a loan while its term runs. Whatever its proxies
may act on, told or still on its way, here or gone, comes to no more; nobody is told more than that leaves
room for, so some are lowered before others rise."""

from .messages import QuotaRequest

WAITS = 2  # asks that one who came waits for its whole part; then it takes what there is
KEPT = 16  # asks whose grants are still taken: past any term


class QuotaHolder:
    """`floors`: limit -> units. The controller says who came (`joined`), who left (`left`), what a proxy acts
    on (`acts`), and sends what `orders` gives."""

    def __init__(self, me, floors, config, incarnation=0):
        self.me, self.floors, self.config, self.incarnation, self.sequence, self.applied = (
            me,
            floors,
            config,
            incarnation,
            incarnation,
            0,
        )
        self.loan, self.loan_ends_at, self.sent_requests, self.divided_among = (
            dict.fromkeys(floors, 0),
            0,
            {},
            {},
        )
        self.demand, self.last_heard = dict.fromkeys(floors, 0), {}
        self.connected, self.acknowledged, self.departed = (
            {},
            set(),
            {},
        )  # here: proxy -> our last ask when it came; away: the ask that first said so, or None
        self.allowed = {limit: {} for limit in floors}  # proxy -> most units that it may act on by our word
        self.last_sent = {limit: {} for limit in floors}  # proxy -> units last sent

    # ---- what the controller says

    def proxy_joined(self, proxy):
        """It acts on what another told it, until it acts on ours."""
        self.connected[proxy] = self.sequence
        self.departed.pop(proxy, None)
        for sent in self.last_sent.values():
            sent.pop(proxy, None)

    def proxy_left(self, proxy):
        """Its stream broke. It goes on with what it was told, and stays on our account until another has
        it.
        """
        self.connected.pop(proxy, None)
        self.acknowledged.discard(proxy)
        if any(may.get(proxy) for may in self.allowed.values()):
            self.departed[proxy] = None
        else:
            self.forget_proxy(proxy)

    def proxy_gone(self, proxy):
        """Told by operators, or by the list of proxies: it is no more."""
        self.connected.pop(proxy, None)
        self.acknowledged.discard(proxy)
        self.forget_proxy(proxy)

    def forget_proxy(self, proxy):
        self.departed.pop(proxy, None)
        for known in (*self.allowed.values(), *self.last_sent.values()):
            known.pop(proxy, None)

    def proxy_acknowledged(self, limit, proxy, units):
        """It answered the order of so many units."""
        if proxy in self.connected:
            self.acknowledged.add(proxy)
            if self.last_sent[limit].get(proxy) == units:
                self.allowed[limit][proxy] = units

    def quota_updates(self, now):
        """[(limit, proxy, units)] to be sent now: lower ones at any time, higher ones while the term runs and
        as far as there is room.
        """
        found = []
        for limit, may in self.allowed.items():
            if not self.divided_among:
                continue
            share = self.floors[limit] + self.loan[limit]
            part, room = share // len(self.divided_among), share - sum(may.values())
            for proxy in sorted(self.connected.keys() & self.divided_among.keys()):
                old, units = may.get(proxy, 0), part
                if proxy not in self.acknowledged and self.sequence - self.connected[proxy] >= WAITS:
                    units = min(
                        part, old + max(0, room)
                    )  # if need be nothing: its former member's units are free once it acts on ours
                if (
                    units == self.last_sent[limit].get(proxy)
                    or units > old
                    and (now >= self.loan_ends_at or units - old > room)
                ):
                    continue
                if proxy not in self.acknowledged and now >= self.loan_ends_at:
                    continue  # it keeps what another told it
                room -= max(0, units - old)
                may[proxy], self.last_sent[limit][proxy] = max(old, units), units
                found.append((limit, proxy, units))
        return found

    # ---- asks and grants

    def make_request(self, now, tenure, leading):
        self.sequence += 1
        for proxy, since in self.departed.items():
            if since is None:
                self.departed[proxy] = self.sequence
        parts = {
            limit: {proxy: may.get(proxy, 0) for proxy in self.connected.keys() | self.departed.keys()}
            for limit, may in self.allowed.items()
        }
        self.sent_requests = {
            seq: row for seq, row in self.sent_requests.items() if seq > self.sequence - KEPT
        }
        self.sent_requests[self.sequence] = (
            now,
            tenure,
            dict.fromkeys(sorted(self.connected.keys() | self.departed.keys())),
        )
        return QuotaRequest(
            self.incarnation,
            self.sequence,
            tenure,
            leading,
            self.applied,
            dict(self.demand),
            parts,
            frozenset(self.acknowledged),
            dict(self.last_heard),
        )

    def heard_from(self, name, ask):
        """Another's ask: who has come to it that left us, if it knew then that it had left."""
        self.last_heard[name] = max(self.last_heard.get(name, 0), ask.sequence)
        for proxy in ask.acknowledged & frozenset(self.departed):
            if self.departed[proxy] is not None and ask.last_heard.get(self.me, 0) >= self.departed[proxy]:
                self.forget_proxy(proxy)

    def apply_grant(self, now, grant, tenure):
        """True if it is taken: of an ask of ours to this leader, later than what is in force, and its term
        still runs.
        """
        row = self.sent_requests.get(grant.sequence)
        if (
            row is None
            or grant.sequence <= self.applied
            or grant.ballot != tenure
            or row[1] != tenure
            or now >= row[0] + self.config.lease_term
        ):
            return False
        self.applied, self.loan_ends_at, self.loan, self.divided_among = (
            grant.sequence,
            row[0] + self.config.lease_term,
            dict(grant.amounts),
            row[2],
        )
        return True

"""Model of the quota that a leader grants."""

from embertray.cluster.limits.ledger import Ledger
from embertray.cluster.limits.messages import QuotaGrant, QuotaRequest
from embertray.cluster.limits.quota_holder import QuotaHolder
from embertray.experiments.measure.explore import clone

from .timing import TickTiming


class QuotaModel:
    """One leader, members x and y with a proxy each, and a limit of two units without a floor.

    Requests and grants are lost, repeated and delayed; x may stop and resume, or crash and restart; its
    proxy may move to y. Property: the proxies never use more than two units together.
    """

    def __init__(
        self, asks=2, ticks=4, faults=1, moves=1, holder=QuotaHolder, ledger=Ledger, config=TickTiming
    ):
        self.config, self.holder_type, self.now, self.asks, self.ticks = (
            config,
            holder,
            10,
            {"x": asks, "y": asks},
            ticks,
        )
        self.faults_left, self.moves_left, self.stopped, self.incarnations, self.missed_events = (
            faults,
            moves,
            False,
            {"x": 1, "y": 1},
            [],
        )
        self.ledger = ledger(["x", "y"], {"l": 2}, {"l": 0}, config, 10)
        self.holders = {name: holder(name, {"l": 0}, config, 1 << 8) for name in "xy"}
        self.home, self.used, self.network = {"p": "x", "q": "y"}, {"p": 0, "q": 0}, []
        for proxy, name in self.home.items():
            self.holders[name].proxy_joined(proxy)
        self.holders["x"].demand, self.holders["y"].demand = {"l": 2}, {"l": 2}

    def copy(self):
        """Returns a copy that can be changed without changing this state."""
        other = clone(self)
        other.asks, other.incarnations, other.missed_events = (
            self.asks.copy(),
            self.incarnations.copy(),
            self.missed_events.copy(),
        )
        other.home, other.used, other.network = self.home.copy(), self.used.copy(), self.network.copy()
        other.holders = {name: clone(core) for name, core in self.holders.items()}
        other.ledger = clone(self.ledger)
        other.ledger.accounts = {}
        for name, account in self.ledger.accounts.items():
            account_copy = other.ledger.accounts[name] = type(account)()
            (
                account_copy.request,
                account_copy.heard_at,
                account_copy.grants,
                account_copy.former_incarnations,
            ) = (
                account.request,
                account.heard_at,
                account.grants.copy(),
                account.former_incarnations.copy(),
            )
        return other

    def key(self):
        """Returns a hashable value that is equal for equal states."""
        lines = tuple(
            (
                account.request and (account.request.incarnation, account.request.sequence),
                account.heard_at,
                repr(account.grants),
                tuple((g[0].sequence, g[2]) for g in account.former_incarnations),
            )
            for account in self.ledger.accounts.values()
        )
        holders = tuple(
            (
                h.sequence,
                h.applied,
                h.grant_expires_at,
                repr(
                    (
                        h.granted,
                        h.allowed,
                        h.last_sent,
                        h.connected,
                        sorted(h.acknowledged),
                        h.departed,
                        h.last_heard,
                        list(h.divided_among),
                    )
                ),
            )
            for h in self.holders.values()
        )
        return (
            self.now,
            tuple(self.asks.values()),
            self.ticks,
            self.faults_left,
            self.moves_left,
            self.stopped,
            repr(self.missed_events),
            tuple(self.incarnations.values()),
            tuple(self.home.values()),
            tuple(self.used.values()),
            frozenset(text for *_, text in self.network),
            lines,
            holders,
        )

    def moves(self):
        """Returns the possible moves: (text, method name, *args)."""
        found = [("tick", "tick")] if self.ticks else []
        awake = [name for name in "xy" if not (self.stopped and name == "x")]
        found += [(f"{name} requests a quota", "ask", name) for name in awake if self.asks[name]]
        if self.faults_left:
            found += [("x stops", "stop"), ("x crashes and restarts", "crash")]
        if self.stopped:
            found.append(("x resumes", "resume"))
        if self.moves_left and self.home["p"] == "x":
            found.append(("p moves to y", "move"))
        for n, (to, sender, message, _) in enumerate(self.network):
            if to in ("leader", *awake):
                found.append(
                    (f"{sender}>{to} {type(message).__name__} {message.sequence & 255}", "deliver", n)
                )
        for name in awake:
            for _limit, proxy, units in self.holders[name].quota_updates(self.now):
                found.append((f"{name} sends {proxy} a quota of {units}", "push", name))
                break
        return found

    def tick(self):
        """Advances the clock by a tick."""
        self.now, self.ticks = self.now + 1, self.ticks - 1

    def ask(self, name):
        """A member sends a quota request to the leader and to its peer."""
        self.asks[name] -= 1
        ask = self.holders[name].make_request(self.now, 1, False)
        for to in ("leader", "y" if name == "x" else "x"):
            self.network.append((to, name, ask, f"{to} {ask!r}"))

    def stop(self):
        """Member x stops: it handles nothing until it resumes."""
        self.faults_left, self.stopped = self.faults_left - 1, True

    def resume(self):
        """Member x resumes, and learns which proxies left meanwhile."""
        self.stopped = False
        for what, proxy in self.missed_events:
            getattr(self.holders["x"], what)(proxy)
        self.missed_events = []

    def crash(self):
        """Member x restarts with a new incarnation, and its proxies join again."""
        self.faults_left, self.stopped, self.missed_events = self.faults_left - 1, False, []
        self.incarnations["x"] += 1
        self.holders["x"] = self.holder_type("x", {"l": 0}, self.config, self.incarnations["x"] << 8)
        self.holders["x"].demand = {"l": 2}
        for proxy in [proxy for proxy, home in self.home.items() if home == "x"]:
            self.holders["x"].proxy_joined(proxy)

    def move(self):
        """Proxy p moves from x to y."""
        self.moves_left, self.home["p"] = self.moves_left - 1, "y"
        if self.stopped:
            self.missed_events.append(("proxy_left", "p"))
        else:
            self.holders["x"].proxy_left("p")
        self.holders["y"].proxy_joined("p")

    def deliver(self, n):
        """Delivers message `n` in flight; it stays and may be delivered again."""
        to, sender, message, _ = self.network[n]
        if to == "leader":
            if self.ledger.record_request(self.now, sender, message):
                grant = QuotaGrant(message.sequence, 1, self.ledger.make_grant(self.now, sender))
                self.network.append((sender, "leader", grant, f"{sender} {grant!r}"))
        elif isinstance(message, QuotaRequest):
            self.holders[to].on_peer_request(sender, message)
        else:
            self.holders[to].apply_grant(self.now, message, 1)

    def push(self, name):
        """A member sends its quota updates; the proxies apply and acknowledge them at once."""
        for limit, proxy, units in self.holders[name].quota_updates(self.now):
            self.used[proxy] = units
            self.holders[name].proxy_acknowledged(limit, proxy, units)

    def violation(self):
        """Returns the violation of the property, "" if there is none."""
        return f"proxies use {sum(self.used.values())} of 2 units" if sum(self.used.values()) > 2 else ""

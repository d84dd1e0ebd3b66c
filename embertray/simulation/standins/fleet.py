"""A fleet of proxies without streams, which a decision module controls through a simulated channel."""

from collections import defaultdict

from embertray.policy import interface as i

from .fleet_channel import FleetChannel, MessageBatch

NS_PER_MS = 10**6
NS_PER_SECOND = 10**9

START_NS = 10 * NS_PER_SECOND  # the time at which a fleet begins
STEP_PERIOD_NS = 100 * NS_PER_MS
GRACE_MARGIN_NS = 300 * NS_PER_MS  # past the drain grace, for the delivery of the last message
BACKEND_NAME_PREFIX = "be-"


def default_deployment(zones, proxies, **changes):
    """Returns the deployment that a fleet has by default.

    Args:
        zones: the handles of the zones.
        proxies: how many proxies there are; the channel's rate and bounds follow from it.
        **changes: fields of i.Deployment that differ.

    Returns:
        An i.Deployment.
    """
    kinds = [
        i.RequestKind(800 * NS_PER_MS, 2 * NS_PER_SECOND),
        i.RequestKind(NS_PER_SECOND, 3 * NS_PER_SECOND, 2.0, "non-replayable"),
    ]
    fields = {
        "controllers": 5,
        "proxies": proxies,
        "throttle": "share",
        "pick": "two",
        "no_backend_limit": 15 * NS_PER_SECOND,
        "head": 6.0,
        "channel_delay_mean": 180 * NS_PER_MS,
        "channel_rate": 3 * proxies,
        "pending_max": 24 * proxies,
        "channel_delay_max": 450 * NS_PER_MS,
        "messages_max": 20,
        "messages_window": 10 * NS_PER_SECOND,
        "report_interval": 2 * NS_PER_SECOND,
        "cold_speed": 0.2,
        "warm_up_time": 10 * NS_PER_SECOND,
        "overload_multiple": 4.0,
        "overload_time": 3 * NS_PER_SECOND,
        "drain_grace": 9500 * NS_PER_MS,
        "cross_zone_cost": 0.01,
    }
    return i.Deployment(kinds, zones, **fields | changes)


class Fleet:
    """Steps a decision module and applies its orders to the proxies.

    Proxies apply messages and answer nonces. Bound proxies have the lines of their table, others those that
    they joined with.

    Args:
        controller: called with (seed, deployment, now); returns the decision module.
        backends: number of backends that are listed at the start.
        proxies: number of proxies; they join by `join`.
        zones: number of zones.
        seed: the module's seed.
        **deployment: fields of i.Deployment that differ from the defaults.

    Attributes:
        now: ns.
        pending_events: events for the module's next step.
        backend_states: backend -> its state in the list.
        removed_at: backend -> ns when it was first listed as not ready.
        lines: proxy -> backend -> weight.
        bound: proxy -> table.
        joined_at: proxy -> ns.
        tables: table -> backend -> weight, as ordered.
        overdue: (proxy, backend) that had a line past the drain grace -> ns when last observed.
        without_lines_ns: proxy -> ns for which it had no line to a ready backend.
        channel: the FleetChannel.
    """

    def __init__(self, controller, backends, proxies, zones=2, seed=1, **deployment):
        self.zones = [i.Zone(f"zone-{number}") for number in range(zones)]
        self.backends = [i.Backend(f"{BACKEND_NAME_PREFIX}{number}") for number in range(backends)]
        self.proxies = [i.Proxy(number) for number in range(proxies)]
        self.deployment = default_deployment(self.zones, proxies, **deployment)
        self.now = START_NS
        self.policy = controller(seed, self.deployment, self.now)
        self.pending_events = []
        self.backend_states = {}
        self.removed_at = {}
        self.lines = defaultdict(dict)
        self.bound = {}
        self.joined_at = {}
        self.tables = defaultdict(dict)
        self.overdue = {}
        self.without_lines_ns = {}
        self.channel = FleetChannel(self.deployment)
        self.change_list("cached", self.backends, "ready")

    def change_list(self, how, backends, state, started=0):
        """Passes an endpoint-list update to the module with its next step.

        Args:
            how: the kind of i.EndpointListUpdate.
            backends: handles of the backends that are listed.
            state: the state of them all.
            started: ns when their processes started; 0: long ago.
        """
        entries = [i.Endpoint(backend, self._zone_of(backend), state, started) for backend in backends]
        for backend in backends:
            self.backend_states[backend] = state
            if state != "ready":
                self.removed_at.setdefault(backend, self.now)
        self.pending_events.append(i.EndpointListUpdate(how, entries))

    def _zone_of(self, backend):
        number = int(backend.external_id.removeprefix(BACKEND_NAME_PREFIX))
        return self.zones[number % len(self.zones)]

    def join(self, proxies, lines_of):
        """Adds proxies, which the module is told with its next step.

        Args:
            proxies: their handles.
            lines_of: called with a proxy; returns the backends to which it has lines already.
        """
        for proxy in proxies:
            self.lines[proxy] = dict.fromkeys(lines_of(proxy), 1.0)
            self.joined_at[proxy] = self.now
            zone = self.zones[proxy.external_id % len(self.zones)]
            self.pending_events.append(i.ProxyJoined(proxy, zone, 1.0, True))

    def run(self, until, period=STEP_PERIOD_NS):
        """Advances the time and, at each step, delivers messages, steps the module and checks the lines.

        Args:
            until: ns at which to end.
            period: ns between two steps.
        """
        while self.now < until:
            self.now += period
            self.deliver()
            events = self.pending_events
            self.pending_events = []
            self.send(self.policy.step(self.now, events))
            self._check_lines()

    def deliver(self):
        """Applies the messages that have arrived at their proxies, and answers their nonces."""
        for update in self.channel.arrived(self.now):
            if update.table is not None:
                self.lines[update.proxy] = dict(update.table)
            self._apply_changes(self.lines[update.proxy], update.changes)
            if update.nonce:
                answer = i.NonceAcknowledged(update.proxy, update.nonce, self.now - update.sent_at)
                self.pending_events.append(answer)

    @staticmethod
    def _apply_changes(lines, changes):
        for backend, weight in changes.items():
            if weight:
                lines[backend] = weight
            else:
                lines.pop(backend, None)

    # ---- orders

    def send(self, orders):
        """Turns the orders of a step into messages, and sends them on the channel.

        Args:
            orders: what `step` of the module returned.
        """
        batch = MessageBatch()
        users = self._users_of_tables()
        for order in orders:
            if isinstance(order, i.SetLine):
                self._set_line(order, users, batch)
            elif isinstance(order, i.SetAdmission):
                for proxy in users[order.table]:
                    batch.set_level(proxy)
            elif isinstance(order, i.Bind):
                self._bind(order, batch)
            elif isinstance(order, i.Withdraw):
                self._withdraw(order, batch)
            elif isinstance(order, i.RequestAcknowledgement):
                batch.nonce = order.nonce
        self.channel.send(batch, self.now)

    def _users_of_tables(self):
        users = defaultdict(list)
        for proxy, table in self.bound.items():
            users[table].append(proxy)
        return users

    def _set_line(self, order, users, batch):
        for proxy in users[order.table]:
            batch.set_line(proxy, order.backend, order.weight)
        self.tables[order.table][order.backend] = order.weight

    def _bind(self, order, batch):
        self.bound[order.proxy] = order.table
        lines = {backend: weight for backend, weight in self.tables[order.table].items() if weight}
        batch.bind(order.proxy, lines)

    def _withdraw(self, order, batch):
        for proxy in self.joined_at:
            if self.lines[proxy].get(order.backend):
                batch.set_line(proxy, order.backend, 0)

    # ---- checks

    def _check_lines(self):
        """Records lines that exist past the drain grace, and proxies without a usable line."""
        grace = self.deployment.drain_grace + GRACE_MARGIN_NS
        for proxy, joined_at in self.joined_at.items():
            removed = [backend for backend in self.lines[proxy] if backend in self.removed_at]
            for backend in removed:
                if self.now > max(self.removed_at[backend], joined_at) + grace:
                    self.overdue[proxy, backend] = self.now
            if len(removed) == len(self.lines[proxy]):
                self.without_lines_ns[proxy] = self.without_lines_ns.get(proxy, 0) + STEP_PERIOD_NS

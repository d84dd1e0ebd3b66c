"""Baselines to compare the module with; none of them is on the product's path.

Each stands in the place of the decision module inside core.ControllerCore, so that identifiers, channel and
protocol are the same. They follow the list and order tables, and guard no rule: no ledger, no pace for cold
ones, no levels.
"""

import numpy as np

from embertray.controller.core import ControllerCore
from embertray.policy import interface as i

SECOND_NS = 10**9
WAKE_PERIOD_NS = SECOND_NS // 4  # between two wakes that a baseline asks for
SUBSET_SIZE = 5  # backends a proxy in the random subset
REWEIGHT_PERIOD_NS = 2 * SECOND_NS  # between two moves by reported load
MIN_RELATIVE_CHANGE = 0.1  # a weight is ordered again if it is off by more than this share of itself
LOAD_OFFSET = 0.1  # added to a reported load, so that an idle backend's weight is bounded
DEFAULT_LOAD = 0.5  # of a backend that has reported none
ORACLE_MAX_FAILURE_SHARE = 0.5  # share of failures from which the oracle leaves a backend out


class JoinedProxy:
    """A proxy that joined.

    Args:
        zone: its zone.
    """

    def __init__(self, zone):
        self.zone = zone
        self.bound_key = None  # key of the table that it was bound to


class Baseline:
    """What ControllerCore needs of a module: every proxy gets all ready backends, evenly.

    Policies override `key`, which names a proxy's table, and `want`, which gives the table's weights.

    Args:
        seed: what the policy draws from.
        site: the site's description.
        now: the time, ns.
    """

    def __init__(self, seed, site, now):
        self.site = site
        self.now = now
        self.born = now
        self.wake_at = 0
        self.rng = np.random.default_rng(seed)
        self.ready = {}  # backend -> its entry of the list
        self.proxies = {}  # proxy -> JoinedProxy
        self.tables = {}  # key -> Table
        self.ordered = {}  # key -> {backend: weight} as last ordered
        self.loads = {}  # backend -> reported share of its cores that is busy
        self.reweight_at = 0
        self.backends = []

    def step(self, now, events):
        """Takes in events at `now` ns and returns the orders that follow from them."""
        self.now = now
        for event in events:
            self.apply_event(event)
        orders = []
        keys = dict.fromkeys(self.table_key(proxy, joined.zone) for proxy, joined in self.proxies.items())
        for table_key in keys:
            orders += self.update_table(table_key)
        orders += self.bind_proxies()
        if now >= self.wake_at:
            self.wake_at = now + WAKE_PERIOD_NS
            orders.append(i.SetTimer(0, WAKE_PERIOD_NS))
        return orders

    def apply_event(self, event):
        """Notes what an event says of the list, of a proxy or of a backend's load."""
        if isinstance(event, i.EndpointListUpdate):
            if event.how != "failed":
                self.apply_list(event)
        elif isinstance(event, i.ProxyJoined):
            self.proxies[event.proxy] = JoinedProxy(event.zone)
        elif isinstance(event, i.ProxyLeft):
            self.proxies.pop(event.proxy, None)
        elif isinstance(event, i.BackendReport) and "busy" in event.load:
            self.loads[event.backend] = event.load["busy"]

    def apply_list(self, update):
        """Notes which backends are ready, from a complete list or from changes to it."""
        if update.how != "changes":
            listed = {entry.backend for entry in update.entries}
            self.ready = {backend: entry for backend, entry in self.ready.items() if backend in listed}
        for entry in update.entries:
            if entry.state == "ready":
                self.ready[entry.backend] = entry
            else:
                self.ready.pop(entry.backend, None)

    def update_table(self, table_key):
        """The orders that bring a table from what was ordered to what is wanted."""
        table = self.tables.setdefault(table_key, i.Table())
        ordered = self.ordered.setdefault(table_key, {})
        desired_weights = self.desired_weights(table_key)
        orders = [
            i.SetLine(table, backend, weight)
            for backend, weight in desired_weights.items()
            if abs(ordered.get(backend, 0) - weight) > MIN_RELATIVE_CHANGE * weight
        ]
        orders += [i.SetLine(table, backend, 0) for backend in ordered if backend not in desired_weights]
        if orders:
            self.ordered[table_key] = dict(desired_weights)
        return orders

    def bind_proxies(self):
        """The bindings of proxies to tables that have lines, where they are not bound to them."""
        orders = []
        for proxy, joined in self.proxies.items():
            table_key = self.table_key(proxy, joined.zone)
            if joined.bound_key != table_key and self.ordered.get(table_key):
                joined.bound_key = table_key
                orders.append(i.Bind(proxy, self.tables[table_key]))
        return orders

    def table_key(self, proxy, zone):
        """What names the table of a proxy of that zone; proxies of one key share a table."""
        return "all"

    def desired_weights(self, table_key):
        """The weights of a table: {backend: weight}."""
        return dict.fromkeys(self.ready, 1.0)


class ZoneLocal(Baseline):
    """Each proxy the ready backends of its zone, evenly; all, if its zone has none."""

    def table_key(self, proxy, zone):
        """One table a zone."""
        return zone

    def desired_weights(self, table_key):
        """The ready backends of the zone, or all."""
        local = [backend for backend, entry in self.ready.items() if entry.zone is table_key]
        return dict.fromkeys(local or self.ready, 1.0)


class Subset(Baseline):
    """Each proxy its own few, drawn; who goes is replaced."""

    def table_key(self, proxy, zone):
        """One table a proxy."""
        return proxy

    def desired_weights(self, table_key):
        """Those of the proxy's few that are still ready, and others drawn in place of the rest."""
        chosen = [backend for backend in self.ordered.get(table_key, {}) if backend in self.ready]
        others = [backend for backend in self.ready if backend not in chosen]
        missing = min(SUBSET_SIZE - len(chosen), len(others))
        if missing > 0:
            chosen += [others[int(n)] for n in self.rng.choice(len(others), missing, replace=False)]
        return dict.fromkeys(chosen, 1.0)


class LeastLoad(Baseline):
    """By inverse reported load, moved now and then."""

    def desired_weights(self, table_key):
        """The weights of the last move; 1 for backends that came after it."""
        if self.now >= self.reweight_at:
            self.reweight_at = self.now + REWEIGHT_PERIOD_NS
            self.weights = {
                backend: 1 / (LOAD_OFFSET + self.loads.get(backend, DEFAULT_LOAD)) for backend in self.ready
            }
        return {backend: self.weights.get(backend, 1.0) for backend in self.ready}


class Oracle(Baseline):
    """Sees the truth of every backend at once: what it can do now, whether it answers.

    An upper mark, no policy.
    """

    backend_models = staticmethod(dict)  # name -> model.backend.Backend; whoever plays sets it

    def desired_weights(self, table_key):
        """Each backend that answers, by its capacity; all evenly, if none does."""
        models = self.backend_models()
        capacities = {}
        for backend in self.ready:
            model = models.get(backend.external_id)
            if model and self.answers(model):
                capacities[backend] = model.capacity(self.now)
        return capacities or dict.fromkeys(self.ready, 1.0)

    @staticmethod
    def answers(model):
        """Whether a backend answers most requests of every kind."""
        ills = model.ills
        if model.state != "up" or ills.hang:
            return False
        return ills.fails < ORACLE_MAX_FAILURE_SHARE and not ills.kinds


POLICIES = {
    "module": None,
    "even": Baseline,
    "zone": ZoneLocal,
    "subset": Subset,
    "least-load": LeastLoad,
    "oracle": Oracle,
}


def core(name):
    """The core.ControllerCore with that policy; None for the module itself."""
    policy = POLICIES[name]
    if policy is None:
        return None

    class Core(ControllerCore):
        """A core whose decision module is the policy."""

        def __init__(self, site, me, seed, now, *rest):
            super().__init__(site, me, seed, now, *rest)
            self.policy = policy(seed, site, now)

        def collections(self):
            """None: a baseline keeps nothing whose size is watched."""
            return {}

    return Core

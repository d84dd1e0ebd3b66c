"""Baseline policies that the production policy is compared with; production code uses none of them.

Each takes the place of the policy inside ControllerCore, so that identifiers, channel and protocol are the
same. Baselines follow the endpoint list and set tables, and enforce no rule: they keep no account of load,
do not slow-start cold backends, and set no admission levels.
"""

import numpy as np

from embertray.controller.core import ControllerCore
from embertray.policy import interface as i

SECOND_NS = 10**9
WAKE_PERIOD_NS = SECOND_NS // 4  # between two timer events
SUBSET_SIZE = 5  # backends per proxy
REWEIGHT_PERIOD_NS = 2 * SECOND_NS  # between two updates of weights by reported load
MIN_RELATIVE_CHANGE = 0.1  # smaller changes, relative to the new weight, are not sent
LOAD_OFFSET = 0.1  # added to reported loads: bounds the weight of an idle backend
DEFAULT_LOAD = 0.5  # of a backend that has not reported its load
ORACLE_MAX_FAILURE_SHARE = 0.5  # the oracle excludes backends that fail at least this share


class JoinedProxy:
    """A proxy that joined.

    Args:
        zone: Its zone.
    """

    def __init__(self, zone):
        self.zone = zone
        self.bound_key = None  # key of the table that it is bound to


class Baseline:
    """What ControllerCore needs of a policy; gives every proxy all ready backends with equal weights.

    Subclasses override `table_key`, which names a proxy's table, and `desired_weights`, the table's weights.

    Args:
        seed: Of the policy's random draws.
        site: The site's description.
        now: The time, ns.
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
        self.last_weights = {}  # key -> {backend: weight} desired when lines were last set
        self.loads = {}  # backend -> reported share of its cores that is busy
        self.reweight_at = 0
        self.backends = []

    def step(self, now, events):
        """Applies events at `now` ns and returns the actions that follow from them."""
        self.now = now
        for event in events:
            self.apply_event(event)
        actions = []
        keys = dict.fromkeys(self.table_key(proxy, joined.zone) for proxy, joined in self.proxies.items())
        for table_key in keys:
            actions += self.update_table(table_key)
        actions += self.bind_proxies()
        if now >= self.wake_at:
            self.wake_at = now + WAKE_PERIOD_NS
            actions.append(i.SetTimer(0, WAKE_PERIOD_NS))
        return actions

    def apply_event(self, event):
        """Applies an event of the endpoint list, of a proxy or of a backend's load; ignores all others."""
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
        """Updates the ready backends from a complete list or from changes to it."""
        if update.how != "changes":
            listed = {entry.backend for entry in update.entries}
            self.ready = {backend: entry for backend, entry in self.ready.items() if backend in listed}
        for entry in update.entries:
            if entry.state == "ready":
                self.ready[entry.backend] = entry
            else:
                self.ready.pop(entry.backend, None)

    def update_table(self, table_key):
        """Returns the actions that bring a table to its desired weights, without those for small changes."""
        table = self.tables.setdefault(table_key, i.Table())
        last_weights = self.last_weights.setdefault(table_key, {})
        desired_weights = self.desired_weights(table_key)
        actions = [
            i.SetLine(table, backend, weight)
            for backend, weight in desired_weights.items()
            if abs(last_weights.get(backend, 0) - weight) > MIN_RELATIVE_CHANGE * weight
        ]
        actions += [
            i.SetLine(table, backend, 0) for backend in last_weights if backend not in desired_weights
        ]
        if actions:
            self.last_weights[table_key] = dict(desired_weights)
        return actions

    def bind_proxies(self):
        """Binds each proxy to its table, once the table has lines."""
        actions = []
        for proxy, joined in self.proxies.items():
            table_key = self.table_key(proxy, joined.zone)
            if joined.bound_key != table_key and self.last_weights.get(table_key):
                joined.bound_key = table_key
                actions.append(i.Bind(proxy, self.tables[table_key]))
        return actions

    def table_key(self, proxy, zone):
        """Returns the key of the table of a proxy in that zone; proxies with equal keys share a table."""
        return "all"

    def desired_weights(self, table_key):
        """Returns the weights of a table: {backend: weight}."""
        return dict.fromkeys(self.ready, 1.0)


class ZoneLocal(Baseline):
    """Gives each proxy the ready backends of its zone with equal weights; all if the zone has none."""

    def table_key(self, proxy, zone):
        """Returns the zone: one table per zone."""
        return zone

    def desired_weights(self, table_key):
        """Returns equal weights of the zone's ready backends, or of all."""
        local = [backend for backend, entry in self.ready.items() if entry.zone is table_key]
        return dict.fromkeys(local or self.ready, 1.0)


class Subset(Baseline):
    """Gives each proxy a random subset of backends; those that leave are replaced."""

    def table_key(self, proxy, zone):
        """Returns the proxy: one table per proxy."""
        return proxy

    def desired_weights(self, table_key):
        """Returns equal weights of the subset's backends that are still ready and of random replacements."""
        chosen = [backend for backend in self.last_weights.get(table_key, {}) if backend in self.ready]
        others = [backend for backend in self.ready if backend not in chosen]
        missing = min(SUBSET_SIZE - len(chosen), len(others))
        if missing > 0:
            chosen += [others[int(n)] for n in self.rng.choice(len(others), missing, replace=False)]
        return dict.fromkeys(chosen, 1.0)


class LeastLoad(Baseline):
    """Sets weights inversely to reported load, every REWEIGHT_PERIOD_NS."""

    def desired_weights(self, table_key):
        """Returns the weights of the last update; 1 for backends that came after it."""
        if self.now >= self.reweight_at:
            self.reweight_at = self.now + REWEIGHT_PERIOD_NS
            self.weights = {
                backend: 1 / (LOAD_OFFSET + self.loads.get(backend, DEFAULT_LOAD)) for backend in self.ready
            }
        return {backend: self.weights.get(backend, 1.0) for backend in self.ready}


class Oracle(Baseline):
    """Reads the simulated state of every backend without delay: its capacity and whether it answers.

    It is an upper bound for comparison, since no real policy can know this.
    """

    backend_models = staticmethod(dict)  # returns {name: Backend model}; set by the caller

    def desired_weights(self, table_key):
        """Returns weights by capacity of the backends that answer; equal weights of all if none does."""
        models = self.backend_models()
        capacities = {}
        for backend in self.ready:
            model = models.get(backend.external_id)
            if model and self.answers(model):
                capacities[backend] = model.capacity(self.now)
        return capacities or dict.fromkeys(self.ready, 1.0)

    @staticmethod
    def answers(model):
        """Returns whether a backend answers most requests of every kind."""
        faults = model.faults
        if model.state != "up" or faults.hang:
            return False
        return faults.error_share < ORACLE_MAX_FAILURE_SHARE and not faults.failing_kinds


POLICIES = {
    "module": None,
    "even": Baseline,
    "zone": ZoneLocal,
    "subset": Subset,
    "least-load": LeastLoad,
    "oracle": Oracle,
}


def core(name):
    """Returns a ControllerCore class with that policy; None for the production policy ("module")."""
    policy = POLICIES[name]
    if policy is None:
        return None

    class Core(ControllerCore):
        """A ControllerCore that runs the baseline policy."""

        def __init__(self, site, me, seed, now, *rest):
            super().__init__(site, me, seed, now, *rest)
            self.policy = policy(seed, site, now)

        def collections(self):
            """Returns no collections: the sizes of a baseline's collections are not monitored."""
            return {}

    return Core

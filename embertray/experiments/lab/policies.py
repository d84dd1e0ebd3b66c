"""Baselines to compare the module with; none of them is on the product's path.

Each stands in the place of the decision module inside core.ControllerCore, so that identifiers, channel and
protocol are the same. They follow the list and order tables, and guard no rule: no ledger, no pace for cold
ones, no levels.
"""

import numpy as np

from embertray.controller.core import ControllerCore
from embertray.policy import interface as i

S = 10**9
BEAT = S // 4
SUBSET = 5  # backends a proxy in the random subset
LOAD_EVERY = 2 * S  # ns between moves by reported load


class Baseline:
    """What ControllerCore needs of a module. `table_of(px)` names its table, `want(key)` its lines."""

    def __init__(self, seed, site, now):
        self.site, self.now, self.born, self.beat_at = site, now, now, 0
        self.rng, self.ready, self.proxies, self.tables, self.ordered = (
            np.random.default_rng(seed),
            {},
            {},
            {},
            {},
        )
        self.loads, self.moved_at, self.backends = {}, 0, []

    def step(self, now, events):
        self.now = now
        for event in events:
            if isinstance(event, i.ListNews) and event.how != "failed":
                named = {e.backend for e in event.entries}
                if event.how != "changes":
                    self.ready = {backend: e for backend, e in self.ready.items() if backend in named}
                for entry in event.entries:
                    if entry.state == "ready":
                        self.ready[entry.backend] = entry
                    else:
                        self.ready.pop(entry.backend, None)
            elif isinstance(event, i.Joined):
                self.proxies[event.proxy] = [event.zone, None]
            elif isinstance(event, i.Left):
                self.proxies.pop(event.proxy, None)
            elif isinstance(event, i.Heard) and "busy" in event.load:
                self.loads[event.backend] = event.load["busy"]
        orders = []
        for key in dict.fromkeys(self.key(proxy, zone) for proxy, (zone, _) in self.proxies.items()):
            orders += self.update(key)
        for proxy, held in self.proxies.items():
            key = self.key(proxy, held[0])
            if held[1] != key and self.ordered.get(key):
                held[1] = key
                orders.append(i.Bind(proxy, self.tables[key]))
        if now >= self.beat_at:
            self.beat_at = now + BEAT
            orders.append(i.Wake(0, BEAT))
        return orders

    def update(self, key):
        table, ordered, want = (
            self.tables.setdefault(key, i.Table()),
            self.ordered.setdefault(key, {}),
            self.want(key),
        )
        orders = [
            i.SetLine(table, backend, w)
            for backend, w in want.items()
            if abs(ordered.get(backend, 0) - w) > 0.1 * w
        ]
        orders += [i.SetLine(table, backend, 0) for backend in ordered if backend not in want]
        if orders:
            self.ordered[key] = dict(want)
        return orders

    def key(self, proxy, zone):
        return "all"

    def want(self, key):
        return dict.fromkeys(self.ready, 1.0)


class ZoneLocal(Baseline):
    def key(self, proxy, zone):
        return zone

    def want(self, key):
        near = [backend for backend, e in self.ready.items() if e.zone is key]
        return dict.fromkeys(near or self.ready, 1.0)


class Subset(Baseline):
    """Each proxy its own few, drawn; who goes is replaced."""

    def key(self, proxy, zone):
        return proxy

    def want(self, key):
        held = [backend for backend in self.ordered.get(key, {}) if backend in self.ready]
        rest = [backend for backend in self.ready if backend not in held]
        need = min(SUBSET - len(held), len(rest))
        if need > 0:
            held += [rest[int(n)] for n in self.rng.choice(len(rest), need, replace=False)]
        return dict.fromkeys(held, 1.0)


class LeastLoad(Baseline):
    """By inverse reported load, moved now and then."""

    def want(self, key):
        if self.now >= self.moved_at:
            self.moved_at = self.now + LOAD_EVERY
            self.weights = {backend: 1 / (0.1 + self.loads.get(backend, 0.5)) for backend in self.ready}
        return {backend: self.weights.get(backend, 1.0) for backend in self.ready}


class Oracle(Baseline):
    """Sees the truth of every backend at once: what it can do now, whether it answers. An upper mark, no
    policy.
    """

    truth = staticmethod(dict)  # name -> model.backend.Backend; whoever plays sets it

    def want(self, key):
        found, models = {}, self.truth()
        for backend in self.ready:
            model = models.get(backend.external_id)
            if (
                model
                and model.state == "up"
                and not model.ills.hang
                and model.ills.fails < 0.5
                and not model.ills.kinds
            ):
                found[backend] = model.capacity(self.now)
        return found or dict.fromkeys(self.ready, 1.0)


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
        def __init__(self, site, me, seed, now, *rest):
            super().__init__(site, me, seed, now, *rest)
            self.module = policy(seed, site, now)

        def collections(self):
            return {}

    return Core

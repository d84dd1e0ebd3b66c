"""The same day as flows: reqs are masses that are poured by the tables each STEP, so a run costs by proxies x
backends and not by reqs. Controllers, tables, channel and list are those of day_simulation.py; backends are
model.Backend, by `pour`.

What is approximated: a req's second try goes to the average backend, not to another; a wait's spread is
exponential; a client gives up on the mean, so time-outs are all or nothing for a kind and backend in a step.
Picks in rounds and of two go by weight. docs/measured/emulator.md says how far that is from req by req.
"""

from collections import deque

import numpy as np

from embertray.controller.stream.messages import ArrivalTotals, BackendTotals, LoadReport
from embertray.simulation.scenarios.outcome_summary import LONGEST, histogram
from embertray.simulation.standins.messages import Req

from .day_simulation import DaySimulation
from .engine import S
from .proxy import SimulatedProxy

STEP = S // 20  # ns; a quarter of the shortest beat that the module knows


class FluidProxy(SimulatedProxy):
    """A proxy whose reqs are masses; `place` is its row in the simulation's arrays."""

    place = 0

    def apply(self, session, orders):
        super().apply(session, orders)
        self.simulation.changed.add(self.place)

    def break_stream(self):
        super().break_stream()
        self.simulation.changed.add(self.place)

    def on_joined(self, con):
        super().on_joined(con)
        self.simulation.forget(self.place)

    def report(self):
        simulation, now = self.simulation, self.simulation.engine.time
        if self.session is not None and not self.still:
            sums = simulation.sums(self.place)
            if self.lag:
                simulation.engine.at(now + self.lag, self.say, self.session, sums)
            else:
                self.say(self.session, sums)
        else:
            simulation.forget(self.place)
        simulation.engine.after(simulation.site.report_cycle, self.report)


class FluidSimulation(DaySimulation):
    """`tries`, `errored` and `took_sum` (ns) are proxies x backends since each proxy's last sums; `came`:
    proxies x kinds.
    """

    proxy = FluidProxy

    def prepare(self, shares):
        many, site = self.count, self.site
        self.changed, self.names, self.places = set(range(many)), [], {}
        self.mixed, self.retries = self.mix(), int(self.day.load["retries"])
        kinds = len(self.mixed)
        self.parts = np.array([part for _, part, _ in self.mixed])
        self.works = np.array([work for _, _, work in self.mixed], float)
        self.weights = np.zeros((many, 0))
        self.tries, self.errored, self.took_sum, self.small = (np.zeros((many, 0)) for _ in range(4))
        self.left_over = np.zeros((0, kinds))
        self.came, self.lost, self.further = (np.zeros((many, kinds)) for _ in range(3))
        self.levels = np.full((many, kinds), np.inf if site.levels == "rate" else 1.0)
        self.again = np.full((many, kinds), site.base_retry)
        self.since = np.full(many, self.engine.time)
        self.waiting = deque()
        self.rng = self.chance.of("flows")
        self.rates = [self.rate(n, self.day.rate * share) for n, share in enumerate(shares)]
        self.seconds, self.times = {}, histogram()
        self.outcome = {kind: [0.0, 0.0, 0.0, 0.0] for kind, _, _ in self.mixed}  # asked, done, late, lost
        for n, proxy in enumerate(self.proxies):
            proxy.place = n

    # ---- what the proxies hold

    def grow(self):
        """Columns for backends that are new."""
        new = [backend.model.name for backend in self.backends[len(self.names) :]]
        if new:
            self.places.update((name, len(self.names) + k) for k, name in enumerate(new))
            self.names += new
            more = np.zeros((self.count, len(new)))
            self.left_over = np.vstack([self.left_over, np.zeros((len(new), len(self.mixed)))])
            self.weights, self.tries, self.errored, self.took_sum, self.small = (
                np.hstack([book, more])
                for book in (self.weights, self.tries, self.errored, self.took_sum, self.small)
            )

    def read(self):
        """Rows of proxies whose tables have changed."""
        self.grow()
        for place in sorted(self.changed):
            holding, row = self.proxies[place].model.holding, self.weights[place]
            row[:] = 0.0
            for name, weight in holding.picks().items():
                row[self.places[name]] = weight
            if (total := row.sum()) > 0:
                row /= total
            for k, (kind, _, _) in enumerate(self.mixed):
                free = np.inf if self.site.levels == "rate" else 1.0
                level, again = holding.levels.get(kind.external_id, (free, self.site.base_retry))
                self.levels[place, k] = free if self.site.levels == "none" else level
                self.again[place, k] = again
        self.changed.clear()

    def forget(self, place):
        for book in (self.tries, self.errored, self.took_sum, self.came, self.lost, self.further):
            book[place] = 0.0
        self.since[place] = self.engine.time

    def sums(self, place):
        """Whole numbers, drawn so that their means are the masses: as many as Poisson arrivals would have
        been.
        """
        met, tries, errored, took = [], self.tries[place], self.errored[place], self.took_sum[place]
        cols = np.flatnonzero(tries > 1e-9)
        for col, n in zip(cols.tolist(), self.rng.poisson(tries[cols]).tolist(), strict=False):
            if n:
                bad = (
                    int(self.rng.binomial(n, min(1.0, errored[col] / tries[col]))) if errored[col] > 0 else 0
                )
                model = self.backends[col].model
                load = model.report(self.engine.time) if model.state == "up" else {}
                mean = took[col] / max(1e-9, tries[col] - errored[col])
                met.append(BackendTotals(self.names[col], n, bad, int(mean * (n - bad)), load))
        came = []
        for k, (kind, _, _) in enumerate(self.mixed):
            first, further, lost = self.rng.poisson(
                [
                    max(0.0, self.came[place, k] - self.further[place, k]),
                    self.further[place, k],
                    self.lost[place, k],
                ]
            ).tolist()
            came.append(ArrivalTotals(kind.external_id, first + further, lost, further))
        length = int(self.engine.time - self.since[place])
        self.forget(place)
        return LoadReport(length, met, [c for c in came if c.requests])

    # ---- a step

    def load(self, shares, until):
        self.step(until)

    def step(self, until):
        now = self.engine.time
        self.read()
        if now < until:
            rates = np.array([rate(now) for rate in self.rates])
            fresh = (np.maximum(0.0, rates) * (STEP / S))[:, None] * self.parts
            for k, (kind, _, _) in enumerate(self.mixed):
                self.outcome[kind][0] += fresh[:, k].sum()
            self.pour(now, fresh, 1)
        while self.waiting and self.waiting[0][0] <= now:
            _, mass, attempt = self.waiting.popleft()
            self.pour(now, mass, attempt)
        if now < until or self.waiting:
            self.engine.after(STEP, self.step, until)

    def pour(self, now, mass, attempt):
        """Masses (proxies x kinds) reach their proxies, are admitted, spread, and meet the backends."""
        still = np.array([proxy.still for proxy in self.proxies])
        self.came += mass
        if attempt > 1:
            self.further += mass
        if self.site.levels == "rate":
            spent = self.levels * (STEP / S)
            part = np.divide(np.minimum(mass, spent), mass, out=np.ones_like(mass), where=mass > 0)
        else:
            part = np.minimum(1.0, self.levels)
        bare = self.weights.sum(axis=1) <= 0
        part = np.where((bare | still)[:, None], 0.0, part)
        let_in = mass * part
        denied = mass - let_in
        by_backend = self.weights.T @ let_in  # backends x kinds
        bad, took, late = self.meet(now, by_backend)
        proxies_bad = self.weights @ bad  # proxies x kinds: part of what was let in
        sided = self.sided()  # proxies x backends where all errs, or None
        for k, (kind, _, _) in enumerate(self.mixed):
            each = self.weights * let_in[:, k : k + 1]
            self.tries += each
            if sided is not None:
                proxies_bad[:, k] += (self.weights * sided * (1 - bad[:, k])).sum(axis=1)
                self.errored += each * sided * (1 - bad[:, k])
            self.errored += each * bad[:, k]
            self.took_sum += each * ((1 - bad[:, k]) * took[:, k])
            failed = let_in[:, k] * proxies_bad[:, k]
            again = np.where(self.again[:, k] >= 2, failed * np.minimum(1.0, self.again[:, k] - 1), 0.0)
            if attempt == 1 and again.any():  # the proxy's own further try
                failed = failed - again * (1 - proxies_bad[:, k])
                good_again = (again * (1 - proxies_bad[:, k])).sum()
            else:
                good_again = 0.0
            self.lost[:, k] += failed
            on_time = let_in[:, k] * (self.weights @ ((1 - bad[:, k]) * (1 - late[:, k])))
            on_time = np.minimum(on_time, let_in[:, k] * (1 - proxies_bad[:, k]))
            after = let_in[:, k] * (1 - proxies_bad[:, k]) - on_time
            counts = self.outcome[kind]
            counts[1] += on_time.sum() + good_again
            counts[2] += max(0.0, after.sum())
            back = denied[:, k] + (failed if kind.again != "non-replayable" else 0.0)
            gone = failed.sum() if kind.again == "non-replayable" else 0.0
            if attempt > self.retries:
                gone, back = gone + back.sum(), 0.0 * back
            counts[3] += gone
            self.note(
                now,
                kind,
                mass[:, k].sum() if attempt == 1 else 0.0,
                on_time.sum() + good_again,
                max(0.0, after.sum()),
            )
            for col in np.flatnonzero(by_backend[:, k] > 0):
                self.left_over[col, k] += by_backend[col, k] * (1 - bad[col, k])
                if whole := int(self.left_over[col, k]):
                    self.left_over[col, k] -= whole
                    self.times.record_value(max(1, min(LONGEST, int(took[col, k]) // 1000)), whole)
            if back.any():
                more = np.zeros_like(mass)
                more[:, k] = back
                self.waiting.append((now + S // 5, more, attempt + 1))

    def note(self, now, kind, asked, done, late):
        second = self.seconds.setdefault((now - self.zero) // S, [0.0, 0.0])
        second[0] += kind.credit * asked
        second[1] += kind.credit * (done + late * self.site.late_credit[kind])

    def sided(self):
        """1 where a backend fails for that proxy alone."""
        struck = [(col, backend) for col, backend in enumerate(self.backends) if backend.bad_for]
        if not struck:
            return None
        found = np.zeros_like(self.weights)
        for col, backend in struck:
            for place, proxy in enumerate(self.proxies):
                found[place, col] = proxy.name in backend.bad_for
        return found

    def meet(self, now, masses):
        """Parts that fail, ns that the rest takes, parts of it that come late: backends x kinds."""
        bad, took, late = (np.zeros_like(masses) for _ in range(3))
        loads = masses.sum(axis=1)
        for col, backend in enumerate(self.backends):
            reqs = loads[col]
            model = backend.model
            work = float(masses[col] @ self.works / reqs) if reqs > 0 else float(self.works.mean())
            if reqs <= 0 and model.waits <= 0:
                continue
            patience = min(kind.client_timeout for kind, _, _ in self.mixed) // (2 if self.retries else 1)
            met = model.pour(now, STEP, reqs, work, patience)
            one = model.shape.cores / max(1e-9, model.capacity(now))
            wait = max(0.0, met.took - work * one)
            for k, (kind, _, _) in enumerate(self.mixed):
                service = self.works[k] * one
                took[col, k] = wait + service
                left = kind.response_target - service
                late[col, k] = 1.0 if left <= 0 else float(np.exp(-left / wait)) if wait > 0 else 0.0
                bad[col, k] = 1 - met.done
                if kind.external_id in model.ills.kinds:
                    bad[col, k] = 1.0
            self.watch(now, col, backend, masses[col], work)
        return bad, took, late

    def watch(self, now, col, backend, masses, work):
        """What goes to a backend that is cold, draining or gone is told to the rules, once it makes a whole
        req.
        """
        if not self.watched:
            return
        model = backend.model
        entry = self.inventory.entries.get(model.name)
        cold = model.started and now - model.started < model.shape.warm_after + self.site.fall_after
        if entry is not None and entry.state == "ready" and not cold:
            return
        column = self.weights[:, col]
        if (total := masses.sum()) <= 0:
            return
        self.small[:, col] += column / column.sum() * total
        for place in np.flatnonzero((self.small[:, col] >= 1) & (column > 0)):
            proxy, mass = self.proxies[place], int(self.small[place, col])
            self.small[place, col] -= mass
            if not proxy.still:
                self.numbers += 1
                self.eyes.sent(
                    now,
                    proxy.name,
                    model.name,
                    Req(self.numbers, self.mixed[0][0].external_id, int(mass * work), S, 1, proxy.name),
                    (self.numbers, 1),
                )

    def outcomes(self):
        return {kind: tuple(counts) for kind, counts in self.outcome.items()}

    def took(self):
        """By each step's mean at each backend."""
        return self.times

    def line(self):
        """By when reqs met a backend: a second's further tries count in the second of the try."""
        return [
            round(min(1.0, got / asked), 4) if asked else None
            for asked, got in (
                self.seconds.get(n, (0.0, 0.0)) for n in range(max(self.seconds, default=-1) + 1)
            )
        ]

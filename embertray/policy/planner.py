from collections import deque
from statistics import median

from embertray.policy.records.backend import added
from embertray.policy.records.levels import FleetState

from .actor import Actor, c, i


class Planner(Actor):
    """Weights: learnt capacity x warmth x health, and the lines of each zone's table."""

    def __init__(self, owner):
        super().__init__(owner)
        self.next_solve, self.means = 0, deque(maxlen=c.MEANS)

    def on_solve(self):
        rows = [backend.figures() for backend in self.owner.backends if backend.state == "ready"]
        need, now = {}, self.now
        for proxy in self.owner.joined:
            proxy.look()
            need[proxy.zone] = need.get(proxy.zone, 0.0) + proxy.rate_long
        if now >= self.next_solve:
            self.next_solve = now + c.SOLVE
            known = [r for r in rows if r.long.tries >= c.HEARD and r.span >= c.SOLVE]
            self.learn([r for r in known if r.backend.health >= 1])
            for backend, long in ((r.backend, r.long) for r in rows):
                some = long.tries >= c.BACK_TRIES and long.failed <= long.tries / 4
                good = some or not long.tries and now - backend.since > c.MUTE
                if good and backend.health < 1 and now > backend.deaf_until + self.owner.cycle:
                    backend.set(backend.cap, min(1.0, backend.health * c.BACK))
        self.judge(rows)
        # guards against the first reports after a start: they tell of few backends, and of those by chance
        most = 2 * sum(r.short.tries > 0 for r in rows) >= len(rows)
        done = sum(one.tries for r in rows for one in r.newest) if most else 0
        self.means += [sum(one.latency for r in rows for one in r.newest) / done] if done else []
        mid = self.means[-1] - min(c.LEAST * self.owner.target, *self.means) if done else 0
        # mid: the wait in queues. In a jam proxies shun full backends and take the empty one: cold ones wait
        jam = mid > c.LOW * self.owner.target and any(r.warmth >= 1 for r in rows)
        falls = done > 0 and self.means[-1] < c.FALLS * self.means[-min(c.AGO, len(self.means))]
        loads = [r.load for r in rows if r.load is not None] or [1.0]  # gauges are younger than spans
        late = [one.load for r in rows for one in r.newest if one.load is not None] or loads
        load, late = (sum(each) / len(each) for each in (loads, late))
        busy, short = load if self.owner.reports_busy else 1.0, added(r.short for r in rows)
        able, cold = sum(r.backend.cap * r.warmth for r in rows) or 1.0, any(r.warmth < 1 for r in rows)
        empty = late < c.EMPTY * load
        self.owner.levels.send("state", FleetState(mid, falls, empty, busy, short, able, cold))
        used = [r for r in rows if r.warmth >= 1 or not jam]
        self.lines({r.backend: r.backend.cap * r.warmth * r.backend.health for r in used}, need)

    def learn(self, rows):
        """The companion's estimate, moved past MOVE only, by STEP at most. A told load vetoes a move further
        off: latency alone starves slow machines that have time. Hurts where loads are told wrong."""
        mid, ease = median([r.long.latency for r in rows] or [0]), c.EASE * self.owner.target
        ratios = [min(c.RATIO, max(1 / c.RATIO, (mid + ease) / (r.long.latency + ease))) for r in rows]
        estimates = [r.long.rate * ratio for r, ratio in zip(rows, ratios, strict=True)]
        mean = sum(estimates) / (len(rows) or 1) or 1.0
        usual = median([r.load for r in rows if r.load is not None] or [0])
        for r, value in zip(rows, estimates, strict=True):
            backend, want = r.backend, min(c.CAP_HIGH, max(c.CAP_LOW, value / mean))
            off, more = (r.load or usual) - usual, want / backend.cap - 1
            if abs(more) > c.MOVE and (off * more <= 0 or abs(off) <= c.LOADED * usual):
                step = min(1 + c.STEP, max(1 - c.STEP, want / backend.cap))
                backend.set(backend.cap * step, backend.health)

    def judge(self, rows):
        """Guards against backends that err far more than their peers: they keep the part that they answer. A
        general trouble moves the quartile. Hurts where few peers are heard."""
        many = [r for r in rows if r.short.tries >= c.SICK_TRIES and r.backend.health > c.TRICKLE]
        share = {r.backend: r.short.failed / r.short.tries for r in many}
        usual = sorted(share.values())[len(share) // 4] if share else 0
        room = int(c.SICK_MOST * len(rows)) - sum(r.backend.health < 1 for r in rows)
        sick = [backend for backend, failed in share.items() if failed > c.SICK + usual]
        for backend in sorted(sick, key=lambda backend: -share[backend]):
            if backend.health < 1 or room > 0:
                room -= backend.health >= 1
                backend.set(backend.cap, max(c.TRICKLE, backend.health * (1 - share[backend])))
                self.owner.orders.append(i.Log("a backend errs far more than its peers: its weight is cut"))

    def lines(self, eff, need):
        """Zone tables hold all listed. Where crossing costs, a part of what comes to a zone stays home as far
        as its own backends' part of the capacity reaches; what it lacks goes where there is some to spare."""
        zones = list(dict.fromkeys(backend.zone for backend in eff))
        total, requests = sum(eff.values()) or 1.0, sum(need.values()) or 1.0
        cap = {z: sum(w for backend, w in eff.items() if backend.zone is z) / total or 1e-9 for z in zones}
        spare = {z: max(0.0, cap[z] - need.get(z, 0.0) / requests) for z in zones}
        keep = c.HOME if self.site.cross_fee > 0 else 0.0
        for zone in dict.fromkeys([] if self.site.slices else [*self.site.zones, *need]):
            want = need.get(zone, 0.0) / requests
            home, away = min(want, cap.get(zone, 0.0)), sum(s for z, s in spare.items() if z is not zone)
            flow = {z: home if z is zone else (want - home) * spare[z] / away if away else 0.0 for z in zones}
            part = {z: (keep * flow[z] / want if want else 0.0) / cap[z] + 1 - keep for z in zones}
            top = part.get(zone) or 1.0
            lines = {backend: w * part[backend.zone] / top for backend, w in eff.items()}
            self.owner.channel.send("want", zone, lines)

from collections import deque
from statistics import median

from ..records.backend import added
from ..records.levels import FleetState
from .actor import Actor, c, i


class Planner(Actor):
    """Weights: learnt capacity x warmth x health, and the lines of each zone's table."""

    def __init__(self, hub):
        super().__init__(hub)
        self.next_solve, self.means = 0, deque(maxlen=c.MEANS)

    def on_solve(self):
        rows, need, now = [be.figures() for be in self.hub.bes if be.state == "ready"], {}, self.now
        for px in [px for px in self.hub.pxs if px.joined]:
            px.look()
            need[px.zone] = need.get(px.zone, 0.0) + px.rate_long
        if now >= self.next_solve:
            self.next_solve = now + c.SOLVE
            known = [r for r in rows if r.long.tries >= c.HEARD and r.span >= c.SOLVE]
            self.learn([r for r in known if r.backend.health >= 1])
            for be, long in ((r.backend, r.long) for r in rows):
                some = long.tries >= c.BACK_TRIES and long.failed <= long.tries / 4
                good = some or not long.tries and now - be.since > c.MUTE
                if good and be.health < 1 and now > be.deaf_until + self.hub.cycle:
                    be.set(be.cap, min(1.0, be.health * c.BACK))
        self.judge(rows)
        # guards against the first reports after a start: they tell of few backends, and of those by chance
        most = 2 * sum(r.short.tries > 0 for r in rows) >= len(rows)
        done = sum(one.tries for r in rows for one in r.newest) if most else 0
        self.means += [sum(one.latency for r in rows for one in r.newest) / done] if done else []
        mid = self.means[-1] - min(c.LEAST * self.hub.target, *self.means) if done else 0
        # mid: the wait in queues. In a jam proxies shun full backends and take the empty one: cold ones wait
        jam = mid > c.LOW * self.hub.target and any(r.warmth >= 1 for r in rows)
        falls = done > 0 and self.means[-1] < c.FALLS * self.means[-min(c.AGO, len(self.means))]
        loads = [r.load for r in rows if r.load is not None] or [1.0]  # gauges are younger than spans
        late = [one.load for r in rows for one in r.newest if one.load is not None] or loads
        told, late = (sum(each) / len(each) for each in (loads, late))
        busy, short = told if self.hub.tells_busy else 1.0, added(r.short for r in rows)
        able, cold = sum(r.backend.cap * r.warmth for r in rows) or 1.0, any(r.warmth < 1 for r in rows)
        state = FleetState(mid, falls, late < c.EMPTY * told, busy, short, able, cold)
        self.hub.levels.tell("state", state)
        used = [r for r in rows if r.warmth >= 1 or not jam]
        self.lines({r.backend: r.backend.cap * r.warmth * r.backend.health for r in used}, need)

    def learn(self, rows):
        """The companion's estimate, moved past MOVE only, by STEP at most. A told load vetoes a move further
        off: latency alone starves slow machines that have time. Hurts where loads are told wrong."""
        mid, ease = median([r.long.latency for r in rows] or [0]), c.EASE * self.hub.target
        ratios = [min(c.RATIO, max(1 / c.RATIO, (mid + ease) / (r.long.latency + ease))) for r in rows]
        estimates = [r.long.rate * ratio for r, ratio in zip(rows, ratios, strict=True)]
        mean = sum(estimates) / (len(rows) or 1) or 1.0
        usual = median([r.load for r in rows if r.load is not None] or [0])
        for r, value in zip(rows, estimates, strict=True):
            be, want = r.backend, min(c.CAP_HIGH, max(c.CAP_LOW, value / mean))
            off, more = (r.load or usual) - usual, want / be.cap - 1
            if abs(more) > c.MOVE and (off * more <= 0 or abs(off) <= c.LOADED * usual):
                be.set(be.cap * min(1 + c.STEP, max(1 - c.STEP, want / be.cap)), be.health)

    def judge(self, rows):
        """Guards against backends that err far more than their peers: they keep the part that they answer. A
        general trouble moves the quartile. Hurts where few peers are heard."""
        many = [r for r in rows if r.short.tries >= c.SICK_TRIES and r.backend.health > c.TRICKLE]
        share = {r.backend: r.short.failed / r.short.tries for r in many}
        usual = sorted(share.values())[len(share) // 4] if share else 0
        room = int(c.SICK_MOST * len(rows)) - sum(r.backend.health < 1 for r in rows)
        for be in sorted((be for be, s in share.items() if s > c.SICK + usual), key=lambda be: -share[be]):
            if be.health < 1 or room > 0:
                room -= be.health >= 1
                be.set(be.cap, max(c.TRICKLE, be.health * (1 - share[be])))
                self.hub.orders.append(i.Log("a backend errs far more than its peers: its weight is cut"))

    def lines(self, eff, need):
        """Zone tables hold all listed. Where crossing costs, a part of a zone's requests stays home as far as
        its own backends' part of the capacity reaches; what it lacks goes where there is some to spare.
        """
        zones = list(dict.fromkeys(be.zone for be in eff))
        total, requests = sum(eff.values()) or 1.0, sum(need.values()) or 1.0
        cap = {z: sum(w for be, w in eff.items() if be.zone is z) / total or 1e-9 for z in zones}
        spare = {z: max(0.0, cap[z] - need.get(z, 0.0) / requests) for z in zones}
        keep = c.HOME if self.site.cross_fee > 0 else 0.0
        for zone in dict.fromkeys([] if self.site.slices else [*self.site.zones, *need]):
            want = need.get(zone, 0.0) / requests
            home, away = min(want, cap.get(zone, 0.0)), sum(s for z, s in spare.items() if z is not zone)
            flow = {z: home if z is zone else (want - home) * spare[z] / away if away else 0.0 for z in zones}
            part = {z: (keep * flow[z] / want if want else 0.0) / cap[z] + 1 - keep for z in zones}
            top = part.get(zone) or 1.0
            self.hub.channel.tell("want", zone, {be: w * part[be.zone] / top for be, w in eff.items()})

from collections import deque
from statistics import median

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
            self.learn([r for r in rows if r.be.health >= 1 and r.long[0] >= c.HEARD and r.span >= c.SOLVE])
            for be, (tries, bad, *_), *_ in rows:
                good = tries >= c.BACK_TRIES and bad <= tries / 4 or not tries and now - be.since > c.MUTE
                if good and be.health < 1 and now > be.deaf_until + self.hub.cycle:
                    be.set(be.cap, min(1.0, be.health * c.BACK))
        self.judge(rows)
        # guards against the first reports after a start: they tell of few backends, and of those by chance
        most = 2 * sum(r.short[0] > 0 for r in rows) >= len(rows)
        done = sum(n for r in rows for n, *_ in r.newest) if most else 0
        self.means += [sum(took for r in rows for _, took, _ in r.newest) / done] if done else []
        mid = self.means[-1] - min(c.LEAST * self.hub.target, *self.means) if done else 0
        # mid: the wait in queues. In a jam proxies shun full backends and take the empty one: cold ones wait
        jam = mid > c.LOW * self.hub.target and any(r.warm >= 1 for r in rows)
        falls = done > 0 and self.means[-1] < c.FALLS * self.means[-min(c.AGO, len(self.means))]
        loads = [r.load for r in rows if r.load is not None] or [1.0]   # gauges are younger than spans
        late = [load for r in rows for *_, load in r.newest if load is not None] or loads
        told, late = (sum(each) / len(each) for each in (loads, late))
        self.hub.levels.tell("state", mid, falls, late < c.EMPTY * told, told if self.hub.tells_busy else 1.0,
                             *(sum(r.short[k] for r in rows) for k in (0, 1, 3)),
                             sum(r.be.cap * r.warm for r in rows) or 1.0, any(r.warm < 1 for r in rows))
        self.lines({r.be: r.be.cap * r.warm * r.be.health for r in rows if r.warm >= 1 or not jam}, need)

    def learn(self, rows):
        """The companion's estimate, moved past MOVE only, by STEP at most. A told load vetoes a move further
        off: latency alone starves slow machines that have time. Hurts where loads are told wrong."""
        mid, ease = median([r.long[2] for r in rows] or [0]), c.EASE * self.hub.target
        est = {r: r.long[3] * min(c.RATIO, max(1 / c.RATIO, (mid + ease) / (r.long[2] + ease))) for r in rows}
        mean = sum(est.values()) / (len(est) or 1) or 1.0
        usual = median([r.load for r in rows if r.load is not None] or [0])
        for r, value in est.items():
            want = min(c.CAP_HIGH, max(c.CAP_LOW, value / mean))
            off, more = (r.load or usual) - usual, want / r.be.cap - 1
            if abs(more) > c.MOVE and (off * more <= 0 or abs(off) <= c.LOADED * usual):
                r.be.set(r.be.cap * min(1 + c.STEP, max(1 - c.STEP, want / r.be.cap)), r.be.health)

    def judge(self, rows):
        """Guards against backends that err far more than their peers: they keep the part that they answer. A
        general trouble moves the quartile. Hurts where few peers are heard."""
        many = [r for r in rows if r.short[0] >= c.SICK_TRIES and r.be.health > c.TRICKLE]
        share = {r.be: r.short[1] / r.short[0] for r in many}
        usual = sorted(share.values())[len(share) // 4] if share else 0
        room = int(c.SICK_MOST * len(rows)) - sum(r.be.health < 1 for r in rows)
        for be in sorted((be for be, s in share.items() if s > c.SICK + usual), key=lambda be: -share[be]):
            if be.health < 1 or room > 0:
                room -= be.health >= 1
                be.set(be.cap, max(c.TRICKLE, be.health * (1 - share[be])))
                self.hub.orders.append(i.Log("a backend errs far more than its peers: its weight is cut"))

    def lines(self, eff, need):
        """Zone tables hold all listed. Where crossing costs, a part of a zone's reqs stays home as far as its
        own backends' part of the capacity reaches; what it lacks goes where there is some to spare."""
        zones = list(dict.fromkeys(be.zone for be in eff))
        total, reqs = sum(eff.values()) or 1.0, sum(need.values()) or 1.0
        cap = {z: sum(w for be, w in eff.items() if be.zone is z) / total or 1e-9 for z in zones}
        spare = {z: max(0.0, cap[z] - need.get(z, 0.0) / reqs) for z in zones}
        keep = c.HOME if self.site.cross_fee > 0 else 0.0
        for zone in dict.fromkeys([] if self.site.slices else [*self.site.zones, *need]):
            want = need.get(zone, 0.0) / reqs
            home, away = min(want, cap.get(zone, 0.0)), sum(s for z, s in spare.items() if z is not zone)
            flow = {z: home if z is zone else (want - home) * spare[z] / away if away else 0.0 for z in zones}
            part = {z: (keep * flow[z] / want if want else 0.0) / cap[z] + 1 - keep for z in zones}
            top = part.get(zone) or 1.0
            self.hub.channel.tell("want", zone, {be: w * part[be.zone] / top for be, w in eff.items()})

from collections import deque

from ..records.levels import Level
from .actor import Actor, c, i


class Levels(Actor):
    """What is let in, and further tries: against overload by what comes or by backends lost, cold or slow."""

    def __init__(self, hub):
        super().__init__(hub)
        self.done, self.came = deque(maxlen=c.DONE_KEEP), deque(maxlen=c.CALM)
        self.calm_at = hub.now + hub.timeout + hub.site.report_cycle  # after a restart a jam is not known yet
        self.look_at, self.cut_at, self.goal, self.full, self.units, self.pace = 0, 0, None, 0.0, 1.0, c.GROW

    def on_state(self, state):
        mid, falls, empty, busy, (tries, bad, _, done), able, cold = state
        hub, target, pxs = self.hub, self.hub.target, [px for px in self.hub.pxs if px.joined]
        if tries and bad / tries > c.MOST_FAIL:
            self.calm_at = hub.now + hub.timeout
        if hub.now >= self.look_at and pxs and hub.site.throttle != "none":
            self.look_at = hub.now + c.LOOK
            coming = sum(sum(px.rates.values()) for px in pxs)
            # other controllers' proxies have their part of the fleet: a unit is a backend a usual request/s
            unit = able * (usual := sum(px.rate for px in pxs) or 1.0)
            # what came for a while with no queue and nobody denied was done, in the measure it is seen in:
            # many proxies with few requests are counted too high. Guards against denying where there is room
            calm = tries and mid < c.LOW * target and all(r.level == hub.all_in for r in hub.table.values())
            self.came.append((coming if calm else 0.0, unit))
            came, units = min(n for n, _ in self.came), max(u for _, u in self.came)  # reports lag who leaves
            self.done.append((done / units, able, came / units if len(self.came) == c.CALM else 0.0))
            most, ably, calmly = (max(column) for column in zip(*self.done, strict=True))
            if self.goal is not None and hub.now < self.cut_at:
                self.full = max(self.full, done / max(units, self.units))  # what a full fleet does, it can do
            if mid > c.HIGH * target and not (falls and self.goal or empty) and hub.now >= self.cut_at:
                known = most if self.goal is None else c.AGAIN * max(self.full, self.goal)
                self.units = unit
                least = c.LET_LEAST if len(self.done) > c.SURE_LOOKS else c.LET_NEW  # too new to know
                self.full = max(known, least * min(coming, usual) / unit)
                self.pace = c.FIND if known < self.full else c.GROW  # a guess is to be found out
                self.goal = max(c.DEEP, c.DRAIN * c.HIGH * target / mid) * self.full
                self.cut_at = hub.now + hub.timeout + hub.site.report_cycle + hub.cycle
                hub.orders.append(i.Log(f"overload: {self.goal * unit:.0f} of {coming:.0f} reqs/s let in"))
            elif self.goal is not None and mid < (c.HIGH if falls else c.LOW) * target:
                self.goal = max(c.FULL * self.full, self.goal * self.pace)
                if self.goal * unit > coming:
                    self.goal = None
                    hub.orders.append(i.Log("overload over: all let in"))
            elif hub.now >= self.cut_at:
                self.pace = c.GROW
            # what most was done is what could be done only where the rest could not do all of it
            shrunk = len(self.done) > c.SURE_LOOKS and able < c.SHRUNK * ably and busy * ably > c.ROOMY * able
            sure = c.SURE * max(most, calmly) if shrunk else c.ALL_RATE
            more = coming - (sure if self.goal is None else self.goal) * unit
            self.shed(pxs, max(more, (1 - c.WARY) * coming if cold and hub.now < self.calm_at else 0.0))
        hub.table = {kind: Level(row.level, int(hub.now >= self.calm_at)) for kind, row in hub.table.items()}
        hub.channel.tell("send", hub.table)

    def shed(self, pxs, over):
        for kind in sorted(self.site.kinds, key=lambda k: k.credit):
            come = [px.rates[kind] for px in pxs]
            cut = min(over, c.SHED_MOST * sum(come))
            over, left, level = over - cut, sum(come) - cut, self.hub.all_in
            if cut > 0:
                level = self.limit(come, left) if self.site.throttle == "rate" else left / sum(come)
            old = self.hub.table[kind].level
            if abs(level / old - 1) > c.LEVEL_MOVE or level == self.hub.all_in != old:
                self.hub.table[kind] = Level(level, self.hub.table[kind].retry)

    def limit(self, come, rest):
        for n, rate in zip(range(len(come), 0, -1), sorted(come), strict=True):
            if rate * n >= rest:
                return max(rest / n, 0.01)
            rest -= rate
        return c.ALL_RATE

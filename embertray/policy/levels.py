from collections import deque

from embertray.policy.records.levels import Level

from .actor import Actor, c, i


class Levels(Actor):
    """What is let in, and further tries: against overload by what comes or by backends lost, cold or slow."""

    def __init__(self, owner):
        super().__init__(owner)
        self.done, self.came = deque(maxlen=c.DONE_KEEP), deque(maxlen=c.CALM)
        self.calm_at = owner.now + owner.timeout + owner.site.report_cycle  # a jam is not known yet
        self.look_at, self.cut_at, self.goal, self.full, self.units, self.pace = 0, 0, None, 0.0, 1.0, c.GROW

    def on_state(self, state):
        mid, falls, empty, busy, (tries, bad, _, done), able, cold = state
        owner, target, proxies = self.owner, self.owner.target, self.owner.joined
        if tries and bad / tries > c.MOST_FAIL:
            self.calm_at = owner.now + owner.timeout
        if owner.now >= self.look_at and proxies and owner.site.throttle != "none":
            self.look_at = owner.now + c.LOOK
            coming = sum(sum(proxy.rates.values()) for proxy in proxies)
            # other controllers' proxies have their part of the fleet: a unit is a backend a usual request/s
            unit = able * (usual := sum(proxy.rate for proxy in proxies) or 1.0)
            # what came for a while with no queue and nobody refused was done, in the measure it is seen in:
            # many proxies with few requests are counted too high. Guards against denying where there is room
            whole = all(row.level == owner.all_in for row in owner.table.values())
            calm = tries and mid < c.LOW * target and whole
            self.came.append((coming if calm else 0.0, unit))
            came, units = min(n for n, _ in self.came), max(u for _, u in self.came)  # reports lag who leaves
            self.done.append((done / units, able, came / units if len(self.came) == c.CALM else 0.0))
            most, ably, calmly = (max(column) for column in zip(*self.done, strict=True))
            if self.goal is not None and owner.now < self.cut_at:
                self.full = max(self.full, done / max(units, self.units))  # what a full fleet does, it can do
            if mid > c.HIGH * target and not (falls and self.goal or empty) and owner.now >= self.cut_at:
                known = most if self.goal is None else c.AGAIN * max(self.full, self.goal)
                self.units = unit
                least = c.LET_LEAST if len(self.done) > c.SURE_LOOKS else c.LET_NEW  # too new to know
                self.full = max(known, least * min(coming, usual) / unit)
                self.pace = c.FIND if known < self.full else c.GROW  # a guess is to be found out
                self.goal = max(c.DEEP, c.DRAIN * c.HIGH * target / mid) * self.full
                self.cut_at = owner.now + owner.timeout + owner.site.report_cycle + owner.cycle
                owner.orders.append(i.Log(f"overload: {self.goal * unit:.0f} of {coming:.0f} reqs/s let in"))
            elif self.goal is not None and mid < (c.HIGH if falls else c.LOW) * target:
                self.goal = max(c.FULL * self.full, self.goal * self.pace)
                if self.goal * unit > coming:
                    self.goal = None
                    owner.orders.append(i.Log("overload over: all let in"))
            elif owner.now >= self.cut_at:
                self.pace = c.GROW
            # what most was done is what could be done only where the rest could not do all of it
            shrunk = len(self.done) > c.SURE_LOOKS and able < c.SHRUNK * ably and busy * ably > c.ROOMY * able
            sure = c.SURE * max(most, calmly) if shrunk else c.ALL_RATE
            more = coming - (sure if self.goal is None else self.goal) * unit
            self.shed(proxies, max(more, (1 - c.WARY) * coming if cold and owner.now < self.calm_at else 0.0))
        retry = int(owner.now >= self.calm_at)
        owner.table = {kind: Level(row.level, retry) for kind, row in owner.table.items()}
        owner.channel.send("send", owner.table)

    def shed(self, proxies, over):
        for kind in sorted(self.site.kinds, key=lambda k: k.credit):
            come = [proxy.rates[kind] for proxy in proxies]
            cut = min(over, c.SHED_MOST * sum(come))
            over, left, level = over - cut, sum(come) - cut, self.owner.all_in
            if cut > 0:
                level = self.limit(come, left) if self.site.throttle == "rate" else left / sum(come)
            old = self.owner.table[kind].level
            if abs(level / old - 1) > c.LEVEL_MOVE or level == self.owner.all_in != old:
                self.owner.table[kind] = Level(level, self.owner.table[kind].retry)

    def limit(self, come, rest):
        for n, rate in zip(range(len(come), 0, -1), sorted(come), strict=True):
            if rate * n >= rest:
                return max(rest / n, 0.01)
            rest -= rate
        return c.ALL_RATE

"""All of embertray's decisions.

How to call: make one Controller(seed, deployment, now) an instance, then for each batch take
orders = controller.step(now, events). `now` is whole nanoseconds; events and orders are the types of
embertray/interface.py. docs/design.md tells what is from the design and what was changed.
"""
from collections import deque, namedtuple
from statistics import median
from zlib import crc32

from . import interface as i

MS, S = 10**6, 10**9
# -- constants: value, unit, reason
AGO, LEAST, MEANS = 9, 0.35, 200   # beats compared; work itself: of the target, or least mean of beats
BEAT = 250 * MS          # ns; parts look again this often: well under any report cycle, few batches
SOLVE, SWEEP = 2 * S, 10 * S    # ns; two report cycles, so that none counts twice; the design page's sweep
WINDOW, SHORT = 8 * S, 4 * S    # ns; some 50 answers a backend, against chance; the last reports, for health
KEEP = 64                # samples kept: three zones' reports over WINDOW and some
MOVE, STEP = 0.20, 0.25  # share; the design page's threshold of a weight's move, and most for one move
EASE = 0.15              # of the response target: differences well under it fill no fast machine
RATIO = 1.4              # x; most that latency counts for at once: past it, it tells of a queue, not of speed
LOADED = 0.15            # share off the median told load: a backend so far off is not moved further off
HEARD = 8                # tries in WINDOW; fewer say nothing, the backend counts as average
CAP_LOW, CAP_HIGH = 0.3, 2.0   # x average: below, a backend is hardly heard; above, one carries too much
HOME = 0.9               # share of a zone's reqs planned to stay home; the rest spreads a loss
SICK, SICK_TRIES = 0.35, 8      # share errored above the peers' quartile, and of how many tries: past chance
SICK_MOST = 0.6          # share of the ready ones cut at most: a zone may be lost, but never nearly all
BACK, BACK_TRIES, MUTE = 2.0, 2, 12 * S   # x a solve on the way back, after good tries or none so long
TRICKLE = 0.06           # of its weight at the least, for a sick one: enough to hear of it within seconds
COLD_PART, COLD_TOP = 0.5, 0.95   # of the load a cold one falls under; and the most until warm
TWICE = 0.42             # x for a cold one where proxies take the emptier of two drawn: it wins most
PATIENCE, RETRY_CAP = 1 * S, 8 * S   # ns; a mark's least, as proxies stand still; repeats, under the sweep
SLOWEST = 20             # x; slow spells overlap: the ledger counts on no better pace than told by so much
URGENT, BINDS, HASTY, ORDINARY = (0.8, 1), (0.6, 1), (0.35, 4), (0.25, 7)    # of lines, messages kept
WAVES = 2                # x less room for removals and binds in a slow channel: fewer heads, more lines
PARTED, LINES_LEAST, USERS = 0.7, 8, 5   # of the grace, to bind all in; lines, proxies a table has at least
COVER, GROWN, IDLE = 4, 1.5, 0.25   # x tables a line; x parts there are; share of mean reqs, as joiners come
LACKS, MOVES = 0.25, 4   # share that a part lacks until lines move to it; moves a beat, as they cost lines
PACE = 3                 # x the time a table's weights take the channel: until its next ones go
HIGH, LOW = 0.38, 0.2    # of the response target: mean wait in queues where load is shed, and let in again
LOOK, DONE_KEEP = 1 * S, 40     # ns between looks at the load, and looks whose most done is what can be done
CALM = 5                 # looks on end without queue: past a report cycle and its way, as queues are heard of
SURE, SURE_LOOKS, SHRUNK = 1.3, 10, 0.85   # x that most a unit is let in, if known and capacity is so shrunk
ROOMY = 0.7              # told busy share that those left would come to: below, they can do it all
DEEP, DRAIN, FULL = 0.45, 0.75, 0.95   # x the most done: while queues drain, the deeper the slower; and then
AGAIN, GROW, FALLS = 0.9, 1.015, 0.9   # x the goal where a queue comes back; a look; a wait so falling
LET_LEAST, SHED_MOST = 0.3, 0.97   # of what usually comes, let in at least; shed of a kind at most
LEVEL_MOVE, ALL_RATE = 0.08, 10**6   # share a level moves at least: it costs lines; reqs/s that limit nothing
MOST_FAIL, WARY = 0.3, 0.4   # errored share past which tries add to the fault; let in then if some are cold
FORGET = 60 * S          # ns; who is gone so long is forgotten: past every window, retry and grace here
ASK_FIRST, ASK_CAP = 500 * MS, 4 * S     # ns; asking the list again after a failure: first and longest delay


class Actor:
    """A part with an inbox; a note is the name of an on_... method and what it is given."""

    now = property(lambda self: self.hub.now)

    def __init__(self, hub):
        self.hub, self.site, self.inbox = hub, hub.site, deque()

    def tell(self, note, *what):
        self.inbox.append((note, what))
        self.hub.ready.append(self)


Heard = namedtuple("Heard", "at tries errored latency load zone span")
Figures = namedtuple("Figures", "be long span short warm load newest")
Row = namedtuple("Row", "level retry")      # a request kind's row: what is let in, how it is tried again


class Be(Actor):
    """A backend: what the list says of it, its last samples, its learnt capacity (1 = average) and health."""

    def __init__(self, hub, handle):
        super().__init__(hub)
        self.handle, self.zone, self.state, self.started = handle, None, None, 0
        self.cap, self.health, self.deaf_until, self.since, self.new = 1.0, 1.0, 0, hub.now, hub.now
        self.gone_at, self.draw, self.samples = None, hub.chance(), deque(maxlen=KEEP)

    def on_listed(self, entry):
        anew = entry.state == "ready" and entry.started > self.started
        if anew:
            self.health, self.deaf_until, self.since = 1.0, 0, self.now
            self.new = entry.started + self.site.warm_after
            self.samples.clear()
        if entry.state != "ready" and self.state in (None, "ready"):     # drained, then gone: once only
            self.hub.channel.tell("remove", self)
        elif entry.state == "ready" and self.state is not None and (anew or self.state != "ready"):
            self.hub.channel.tell("restore", self)
        self.zone, self.state, self.started = entry.zone, entry.state, max(entry.started, self.started)
        self.gone_at = None if entry.state != "gone" else self.now if self.gone_at is None else self.gone_at

    def on_heard(self, ev):
        self.hub.spans.append(ev.span)
        self.hub.tells_busy = "busy" in ev.load or self.hub.tells_busy
        if self.now - ev.span >= self.deaf_until and ev.tries > 0:
            # its own word of how loaded it is: the first such figure that reports carry
            load = next((ev.load[name] for name in ("busy", "waiting", "held") if name in ev.load), None)
            self.samples.append(Heard(self.now, ev.tries, ev.errored, ev.latency, load, ev.zone, ev.span))

    def over(self, start):
        """Tries, errored, mean latency (each error a client time-out), and done a second by the told spans:
        where reports are capped, they come late and cover more."""
        rows = [r for r in self.samples if r.at > start]
        tries, bad = sum(r.tries for r in rows), sum(r.errored for r in rows)
        least = self.now - max(start, self.hub.born) - self.hub.cycle()    # spans with no try go unsaid
        spans = {}
        for r in rows:
            spans[r.zone] = spans.get(r.zone, 0) + r.span
        done = sum((r.tries - r.errored) * S / max(BEAT, least, spans[r.zone]) for r in rows)
        took = sum((r.tries - r.errored) * r.latency + r.errored * self.hub.timeout for r in rows)
        return tries, bad, took / tries if tries else 0, done

    def warmth(self):
        """Guards cold backends: a part of the load they fall under. Lags behind one that warms sooner."""
        site, age = self.site, max(0, self.now - self.started)
        if self.started <= 0 or age >= site.warm_after:
            return 1.0
        told = site.cold_from + (1 - site.cold_from) * age / site.warm_after
        drawn = TWICE if site.pick == "two" else 1.0
        return min(COLD_TOP, told * (COLD_PART * site.fall_multiple * drawn or 1))

    def on_beat(self):
        if self.state == "ready":
            long, short = (self.now - max(least, 2 * self.hub.cycle()) for least in (WINDOW, SHORT))
            start = max(long, self.new)     # what it did cold or sick does not count
            newest = [r for r in self.samples if r.at > self.now - self.site.report_cycle * 3 // 2]
            loads = [r.load for r in self.samples if r.load is not None and r.at > self.now - WINDOW]
            aim = self.hub.target      # an errored try counts as one that just missed it
            done = tuple((r.tries, (r.tries - r.errored) * r.latency + r.errored * aim) for r in newest)
            self.hub.planner.tell("figures", Figures(
                self, self.over(start), self.now - start, self.over(short), self.warmth(),
                sum(loads) / len(loads) if loads else None, done))

    def on_set(self, cap, health):
        """What reports tell of the time before a cut does not count."""
        if health < self.health:
            self.deaf_until = self.now + self.site.report_cycle + self.site.way_max
            self.samples.clear()
        if health != self.health:
            self.since, self.new = self.now, self.now + (self.site.report_cycle if health >= 1 else 0)
        self.cap, self.health = cap, health


class Px(Actor):
    """A proxy: its zone, whether joined and bound, its open marks and the reqs that come to it."""

    def __init__(self, hub, handle):
        super().__init__(hub)
        self.handle, self.zone, self.joined, self.table, self.gone_at = handle, None, False, None, hub.now
        self.since, self.seen, self.rates = hub.now, None, {}
        self.open, self.sent, self.samples = deque(), deque(), deque(maxlen=KEEP)

    def on_joined(self, ev):
        self.zone, self.joined, self.table, self.rate, self.fresh = ev.zone, True, None, ev.rate, ev.fresh
        self.gone_at, self.since = None, self.now
        self.open.clear()
        self.sent.clear()
        self.hub.channel.tell("join", self)

    def on_left(self, _):
        self.joined, self.table, self.gone_at = False, None, self.now

    def on_answered(self, ev):
        while any(mark is ev.mark for mark, _ in self.open):
            self.open.popleft()
            self.sent.append(self.now)      # written by now: a channel that lags writes late and at once
        self.hub.channel.tell("through", self, ev.mark, ev.took)

    def on_arrivals(self, ev):
        self.samples.append((self.now, ev))

    def on_beat(self):
        if self.joined:
            if self.seen is None or self.now >= self.seen + LOOK:      # many proxies: not at each beat
                self.seen, self.rates = self.now, {kind: self.over(kind, SHORT) for kind in self.site.kinds}
                self.rate_long = sum(self.over(kind, WINDOW) for kind in self.site.kinds)
            self.hub.planner.tell("demand", self, self.rate_long)
            self.hub.levels.tell("demand", self, self.rates)

    def over(self, kind, window):
        known = [(at, ev) for at, ev in self.samples if ev.kind is kind]
        rows = [ev for at, ev in known if at > self.now - window or at == known[-1][0]]
        span = sum(ev.span for ev in rows)
        return sum(ev.reqs for ev in rows) * S / span if span else self.rate / len(self.site.kinds)


class Planner(Actor):
    """Weights: learnt capacity x warmth x health, and the lines of each zone's table."""

    def __init__(self, hub):
        super().__init__(hub)
        self.rows, self.need, self.next_solve, self.means = [], {}, 0, deque(maxlen=MEANS)

    def on_figures(self, row):
        self.rows.append(row)

    def on_demand(self, px, rate):
        self.need[px.zone] = self.need.get(px.zone, 0.0) + rate

    def on_solve(self):
        rows, need, self.rows, self.need = self.rows, self.need, [], {}
        caps = {r.be: r.be.cap for r in rows}
        if self.now >= self.next_solve:
            self.next_solve = self.now + SOLVE
            self.learn([r for r in rows if r.long[0] >= HEARD and r.span >= SOLVE and r.be.health >= 1], caps)
            for be, (tries, bad, *_), *_ in rows:
                if be.health < 1 and self.now > be.deaf_until + self.hub.cycle() and (
                        tries >= BACK_TRIES and bad <= tries / 4 or not tries and self.now - be.since > MUTE):
                    be.tell("set", be.cap, min(1.0, be.health * BACK))
        health = self.judge(rows)
        # guards against the first reports after a start: they tell of few backends, and of those by chance
        most = 2 * sum(r.short[0] > 0 for r in rows) >= len(rows)
        done = sum(n for r in rows for n, _ in r.newest) if most else 0
        self.means += [sum(took for r in rows for _, took in r.newest) / done] if done else []
        mid = self.means[-1] - min(LEAST * self.hub.target, *self.means) if done else 0
        # mid: the wait in queues. In a jam proxies shun full backends and take the empty one: cold ones wait
        jam = mid > LOW * self.hub.target and any(r.warm >= 1 for r in rows)
        falls = done > 0 and self.means[-1] < FALLS * self.means[-min(AGO, len(self.means))]
        loads = [r.load for r in rows if r.load is not None] if self.hub.tells_busy else []
        busy = sum(loads) / len(loads) if loads else 1.0
        self.hub.levels.tell("state", mid, falls, busy, *(sum(r.short[k] for r in rows) for k in (0, 1, 3)),
                             sum(caps[r.be] * r.warm for r in rows) or 1.0, any(r.warm < 1 for r in rows))
        self.lines({r.be: caps[r.be] * r.warm * health[r.be] for r in rows if r.warm >= 1 or not jam}, need)

    def learn(self, heard, caps):
        """The companion's estimate, moved past MOVE only, by STEP at most. A told load vetoes a move further
        off: latency alone starves slow machines that have time. Hurts where loads are told wrong."""
        mid, ease = median([r.long[2] for r in heard] or [0]), EASE * self.hub.target
        est = {r: r.long[3] * min(RATIO, max(1 / RATIO, (mid + ease) / (r.long[2] + ease))) for r in heard}
        mean = sum(est.values()) / (len(est) or 1) or 1.0
        usual = median([r.load for r in heard if r.load is not None] or [0])
        for r, value in est.items():
            want = min(CAP_HIGH, max(CAP_LOW, value / mean))
            off, more = (r.load or usual) - usual, want / r.be.cap - 1
            if abs(more) > MOVE and (off * more <= 0 or abs(off) <= LOADED * usual):
                caps[r.be] = r.be.cap * min(1 + STEP, max(1 - STEP, want / r.be.cap))
                r.be.tell("set", caps[r.be], r.be.health)

    def judge(self, rows):
        """Guards against a backend that errs far more than its peers, however: it keeps the part that it
        answers. A general trouble moves the quartile. Hurts where few peers are heard."""
        health = {r.be: r.be.health for r in rows}
        many = [r for r in rows if r.short[0] >= SICK_TRIES and r.be.health > TRICKLE]
        share = {r.be: r.short[1] / r.short[0] for r in many}
        usual = sorted(share.values())[len(share) // 4] if share else 0
        room = int(SICK_MOST * len(rows)) - sum(1 for h in health.values() if h < 1)
        for be in sorted((be for be, s in share.items() if s > SICK + usual), key=lambda be: -share[be]):
            if be.health < 1 or room > 0:
                room -= be.health >= 1
                health[be] = max(TRICKLE, health[be] * (1 - share[be]))
                be.tell("set", be.cap, health[be])
                self.hub.orders.append(i.Log("a backend errs far more than its peers: its weight is cut"))
        return health

    def lines(self, eff, need):
        """Zone tables hold all listed. Where crossing costs, a part of a zone's reqs stays home as far as its
        own backends' part of the capacity reaches; what it lacks goes where there is some to spare."""
        zones = list(dict.fromkeys(be.zone for be in eff))
        total, reqs = sum(eff.values()) or 1.0, sum(need.values()) or 1.0
        cap = {z: sum(w for be, w in eff.items() if be.zone is z) / total or 1e-9 for z in zones}
        spare = {z: max(0.0, cap[z] - need.get(z, 0.0) / reqs) for z in zones}
        keep = HOME if self.site.cross_fee > 0 else 0.0
        for zone in self.hub.zones():
            want = need.get(zone, 0.0) / reqs
            home, away = min(want, cap.get(zone, 0.0)), sum(s for z, s in spare.items() if z is not zone)
            flow = {z: home if z is zone else (want - home) * spare[z] / away if away else 0.0 for z in zones}
            part = {z: (keep * flow[z] / want if want else 0.0) / cap[z] + 1 - keep for z in zones}
            top = part.get(zone) or 1.0
            self.hub.channel.tell("want", zone, {be: w * part[be.zone] / top for be, w in eff.items()})


class Levels(Actor):
    """What is let in, and further tries: against overload by what comes or by backends lost, cold or slow."""

    def __init__(self, hub):
        super().__init__(hub)
        self.rates, self.look_at, self.cut_at, self.done = {}, 0, 0, deque(maxlen=DONE_KEEP)
        self.calm_at = hub.now + hub.timeout + hub.site.report_cycle  # after a restart a jam is not known yet
        self.came = deque(maxlen=CALM)
        self.goal, self.full, self.units = None, 0.0, 1.0    # reqs a second a unit; units listed at the cut

    def on_demand(self, px, rates):
        self.rates[px] = rates

    def on_state(self, mid, falls, busy, tries, bad, done, able, cold):
        rates, self.rates, hub = self.rates, {}, self.hub
        if tries and bad / tries > MOST_FAIL:
            self.calm_at = hub.now + hub.timeout
        if hub.now >= self.look_at and rates and hub.site.throttle != "none":
            self.look_at = hub.now + LOOK
            coming = sum(sum(r.values()) for r in rates.values())
            # what came for a while with no queue and nobody denied was done, in the measure it is seen in:
            # many proxies with few reqs are counted too high. Guards against denying reqs where there is room
            all_in = all(row.level == hub.all_in for row in hub.table.values())
            calm = tries and mid < LOW * hub.target and all_in
            self.came.append((coming if calm else 0.0, able))
            came, units = min(c for c, _ in self.came), max(a for _, a in self.came)
            self.done.append((done / able, able, came / units if len(self.came) == CALM else 0.0))
            most, ably, calmly = (max(column) for column in zip(*self.done))
            if self.goal is not None and hub.now < self.cut_at:
                self.full = max(self.full, done / max(able, self.units))   # what a full fleet does, it can do
            if mid > HIGH * hub.target and not (falls and self.goal) and hub.now >= self.cut_at:
                known = most if self.goal is None else AGAIN * max(self.full, self.goal)
                self.units = able
                self.full = max(known, LET_LEAST * min(coming, sum(px.rate for px in rates)) / able)
                self.goal = max(DEEP, DRAIN * HIGH * hub.target / mid) * self.full
                self.cut_at = hub.now + hub.timeout + hub.site.report_cycle + hub.cycle()
                hub.orders.append(i.Log(f"overload: {self.goal * able:.0f} of {coming:.0f} reqs/s let in"))
            elif self.goal is not None and mid < (HIGH if falls else LOW) * hub.target:
                self.goal = max(FULL * self.full, self.goal * GROW)
                if self.goal * able > coming:
                    self.goal = None
                    hub.orders.append(i.Log("overload over: all let in"))
            # what most was done is what could be done only where the rest could not do all of it
            shrunk = len(self.done) > SURE_LOOKS and able < SHRUNK * ably and busy * ably > ROOMY * able
            sure = SURE * max(most, calmly) if shrunk else ALL_RATE
            over = coming - (sure if self.goal is None else self.goal) * able
            self.shed(rates, max(over, (1 - WARY) * coming if cold and hub.now < self.calm_at else 0.0))
        retry = 0 if hub.now < self.calm_at else 1      # 1: only after proof that the first never ran
        hub.table = {kind: Row(row.level, retry) for kind, row in hub.table.items()}
        hub.channel.tell("send", hub.table)

    def shed(self, rates, over):
        for kind in sorted(self.site.kinds, key=lambda k: k.credit):
            come = [r[kind] for r in rates.values()]
            cut = min(over, SHED_MOST * sum(come))
            over, left, level = over - cut, sum(come) - cut, self.hub.all_in
            if cut > 0:
                level = self.limit(come, left) if self.site.throttle == "rate" else left / sum(come)
            old = self.hub.table[kind].level
            if abs(level / old - 1) > LEVEL_MOVE or level == self.hub.all_in != old:
                self.hub.table[kind] = Row(level, self.hub.table[kind].retry)

    @staticmethod
    def limit(come, rest):
        for n, rate in zip(range(len(come), 0, -1), sorted(come)):
            if rate * n >= rest:
                return max(rest / n, 0.01)
            rest -= rate
        return ALL_RATE


class Lookout(Actor):
    """Follows the list; in ask mode watches it, and asks again with backoff after a failure."""

    def __init__(self, hub):
        super().__init__(hub)
        self.fails, self.ask_at = 0, 0 if hub.site.ask else None

    def on_news(self, news):
        if news.how == "failed":
            self.ask_at = self.now + min(ASK_CAP, ASK_FIRST << min(self.fails, 6))
            self.fails += 1
            self.hub.orders.append(i.Log("the list did not answer: it is asked again"))
            return
        self.fails, named = 0, {entry.backend for entry in news.entries}
        lacks = [be for be in self.hub.bes if be.handle not in named and news.how in ("whole", "cached")]
        for entry in news.entries + [i.Entry(be.handle, be.zone, "gone") for be in lacks]:
            self.hub.part(entry.backend, Be, self.hub.bes).tell("listed", entry)

    def on_beat(self):
        if self.ask_at is not None and self.now >= self.ask_at:
            self.ask_at = None
            self.hub.orders.append(i.Subscribe())


class Tab:
    """A zone's table: its lines and levels as wanted and as last told, and its failed pushes."""

    def __init__(self):
        self.handle, self.want, self.told, self.levels, self.fails = i.Table(), {}, {}, {}, 0


class Parts:
    """A zone's tables. One holds all listed, as designed, where the channel can bring that to all proxies
    within the grace. Elsewhere each holds a part of it, of all zones, by what comes to the table's users.
    `usual`: tables in use at most; if all controllers' (each begins elsewhere) are few, parts are larger."""

    def __init__(self, hub):
        each = hub.site.proxies // max(1, hub.site.controllers * USERS * len(hub.site.zones))
        self.draw, self.tabs, self.of, self.open, self.usual = hub.chance(), [], {}, 1, max(1, each)
        self.many = self.usual * hub.site.controllers // COVER

    def deal(self, want, size, rates):
        """Gives each table its part of `want`. `size`: lines of a part, or 0 for no limit."""
        need = max(1, -(-len(want) // size)) if size else 1
        need = need if need <= self.many else min(need, self.usual)
        if need > GROWN * len(self.tabs):
            self.tabs += [Tab() for _ in range(need - len(self.tabs))]
            self.open = min(need, self.usual)
        if len(self.tabs) == 1:
            self.tabs[0].want = want
            return self.tabs
        self.of = {be: tab for be, tab in self.of.items() if be.state == "ready"}
        rates = rates if self.open == len(self.tabs) else {}    # else most have no users, all are alike
        some = (sum(rates.get(tab, 0.0) for tab in self.tabs) or 1.0) / len(self.tabs) * IDLE
        come = {tab: rates.get(tab, 0.0) + some for tab in self.tabs}
        for zone in dict.fromkeys(be.zone for be in want):
            self.level({be: w for be, w in want.items() if be.zone is zone}, come)
        for tab in self.tabs:
            tab.want = {be: 0 for be in tab.told if self.of.get(be, tab) is not tab}
        for be, w in want.items():
            self.of[be].want[be] = w
        return self.tabs

    def level(self, group, come):
        """Backends of one zone: new ones go where most is lacking, and from where most is over if much is."""
        each = sum(group.values()) / sum(come.values())     # weight for what comes
        lack = {tab: rate * each for tab, rate in come.items()}
        for be in [be for be in group if be in self.of]:
            lack[self.of[be]] -= group[be]
        for be in sorted((be for be in group if be not in self.of), key=lambda be: (-group[be], be.draw)):
            self.of[be] = tab = max(lack, key=lack.get)
            lack[tab] -= group[be]
        for _ in range(MOVES):
            poor, rich = max(lack, key=lack.get), min(lack, key=lack.get)
            gap = lack[poor] - lack[rich]
            fit = [be for be, w in group.items() if self.of[be] is rich and w < gap]
            if lack[poor] <= LACKS * come[poor] * each or not fit:
                break
            self.of[be := min(fit, key=lambda be: abs(group[be] - gap / 2))] = poor
            lack[poor] -= group[be]
            lack[rich] += group[be]

    def place(self, px, rates, full):
        """The table for a joiner: where least comes for what its lines can do. None: none has lines yet."""
        first = self.draw % max(1, len(self.tabs))      # each controller begins elsewhere
        used = (self.tabs[first:] + self.tabs[:first])[:self.open]
        can = {tab: sum(tab.want.values()) for tab in used if tab.told or tab.want and not full}
        return min(can, key=lambda tab: (rates.get(tab, 0.0) + px.rate) / (can[tab] or 1e-9), default=None)


class Channel(Actor):
    """The queue of changed tables, marks, and the ledger of lines and messages that every order passes."""

    def __init__(self, hub):
        super().__init__(hub)
        self.zones, self.queue, self.sweep_at, self.levels, self.lines, self.sets = {}, {}, 0, {}, {}, []
        self.joins, self.out, self.withdrawn, self.urgent, self.booked = {}, {}, {}, False, 0
        self.proof_at, self.flight, self.took = hub.now, {}, deque(maxlen=8)

    tabs = property(lambda self: [tab for parts in self.zones.values() for tab in parts.tabs])
    parted = property(lambda self: any(len(parts.tabs) > 1 for parts in self.zones.values()))

    def on_want(self, zone, want):
        if zone not in self.zones:
            self.zones[zone] = Parts(self.hub)
        for tab in self.zones[zone].deal(want, self.part(), self.rates()):
            if self.changes(tab):
                self.queue.setdefault(tab, self.now)

    def part(self):
        """Lines of a table that the channel brings to all proxies within the grace: all may come to one
        controller at once, and who is not bound by then may still send to what has left. 0: no limit."""
        site, times = self.site, [t for t in (self.site.drain_grace, self.site.bare_limit) if t]
        each = PARTED * site.channel_rate * min(times, default=0) / S / (site.proxies or 1)
        return max(LINES_LEAST, int(each - site.head - 2 - len(site.kinds))) if each else 0

    def rates(self):
        """Reqs a second that usually come to the users of each table."""
        found = dict.fromkeys(self.tabs, 0.0)
        for px in [px for px in self.hub.pxs if px.table is not None]:
            found[px.table] += px.rate
        return found

    def on_join(self, px):
        self.joins[px] = self.urgent = True

    def on_remove(self, be):
        self.out[be], self.urgent = self.now, True

    def on_restore(self, be):
        self.out.pop(be, None)

    def on_through(self, px, mark, took):
        self.took.append(took)
        if mark in self.flight:
            while (first := next(iter(self.flight))) is not mark:
                del self.flight[first]
            if n := self.flight[mark][0].pop(px, 0):
                self.flight[mark][1] -= n + self.site.head + 1
                self.proof_at = self.now

    def waiting(self):
        """Lines that may still wait: all since the last mark known to be through, less the slowest pace."""
        gone = (self.now - self.proof_at) * self.site.channel_rate / SLOWEST / S
        return max(0.0, sum(left for _, left in self.flight.values()) - gone)

    def patience(self):
        """Lines ahead, the longest way and answers lately seen: a slow channel breeds no repeats."""
        ahead = int(self.waiting() * S / (self.site.channel_rate or 1))
        return PATIENCE + self.site.way_max + 2 * max(self.took, default=0) + 2 * ahead

    def free(self, rank):
        """Lines that still have room, by rank."""
        # a slow channel keeps its room for removals, whose grace runs; they wait to go in fewer messages. So
        # does one while the list does not answer: what it tells when it is back comes all at once
        late = max(1, 2 * median(self.took or [0]) / (self.site.drain_grace or S))
        unheard = WAVES if self.hub.lookout.fails else 1
        slow = max(late, unheard) if rank in (HASTY, ORDINARY) else min(late, WAVES)
        return rank[0] / slow * self.site.pending_max - self.waiting() - self.booked

    def fits(self, pxs, want, rank, least=None):
        """Books lines at each proxy: all wanted or, given a least, what has room by lines and messages."""
        heads = (self.site.head + 1) * sum(px not in self.lines for px in pxs)
        if self.site.pending_max and pxs and (free := self.free(rank) - heads) < want * len(pxs):
            want = int(free / len(pxs)) if least and free >= least * len(pxs) else 0
        most = self.site.messages_max
        lost = most and self.now - self.site.messages_window - self.patience()
        for px in pxs:
            while px.sent and px.sent[0] <= self.now - self.site.messages_window:
                px.sent.popleft()
            wrote = len(px.sent) + sum(at > lost for _, at in px.open)     # or may yet be written
            if most and px not in self.lines and wrote >= most - rank[1]:
                return 0
        if want:
            self.lines.update((px, self.lines.get(px, 0) + want) for px in pxs)
            self.booked += heads + want * len(pxs)
        return want

    def on_send(self, levels):
        """One message a proxy; by rank: removals, binds, then cuts, levels and repeats, and weights last."""
        hub, now, binds, joined = self.hub, self.now, [], [px for px in self.hub.pxs if px.joined]
        self.levels, self.lines, self.urgent, self.sets, self.booked = levels, {}, False, [], 0
        users = {tab: [] for tab in [*self.tabs, None]}
        for px in joined:
            users[px.table].append(px)
        loose = users.pop(None)
        if now >= self.sweep_at:
            self.sweep_at = now + SWEEP
            self.queue = {tab: now for tab in self.tabs}
        if self.parted and self.out:    # who has waited longer may hold what leaves: the same grace runs
            self.bind(binds, URGENT, min(self.out.values()))
        outs = self.removals(joined, users, loose)
        self.bind(binds, URGENT if self.out and self.parted else BINDS)
        for tab in users:
            rides = users[tab] and all(px in self.lines for px in users[tab])     # levels cost no head then
            cuts = [(be, w) for be, w in self.changes(tab) if 0 < w < 0.5 * tab.told.get(be, 0)]
            self.put(tab, cuts[:0 if self.out else self.fits(users[tab], len(cuts), HASTY, 1)])
            if rides or not self.out:
                self.put_levels(tab, users[tab], URGENT if rides else HASTY)
        for tab in [tab for tab, due in self.queue.items() if now >= due and not (self.out and users[tab])]:
            self.push(tab, users[tab], binds)
        for px, tab in binds:
            px.table = tab
        hub.orders += self.sets + [i.Bind(px.handle, tab.handle) for px, tab in binds] + outs
        if self.lines:
            hub.orders.append(i.PutMark(mark := i.Mark()))
            for px in self.lines:
                px.open.append((mark, now))
            if not self.waiting():
                self.flight.clear()
                self.proof_at = now
            self.flight[mark] = [self.lines, self.booked]    # by proxy; and all, less what is answered

    def bind(self, binds, rank, since=None):
        """Who waits longest first; who holds a standing table only is a quarter of the grace ahead."""
        rates, ahead = self.rates(), max(BEAT, self.site.drain_grace // 4)
        for px in sorted((px for px in self.joins if px.joined and px.since < (since or self.now + 1)),
                         key=lambda px: (px.since + (0 if px.fresh else ahead), -px.rate)):
            tab = px.zone in self.zones and self.zones[px.zone].place(px, rates, bool(self.out))
            if tab and self.fits([px], self.size(tab), rank):
                del self.joins[px]
                binds.append((px, tab))
                rates[tab] += px.rate
            elif tab and self.site.pending_max and self.free(rank) < self.size(tab) + self.site.head + 1:
                break                       # nor is there room for the rest

    def push(self, tab, users, binds):
        """The design's queue item, applied when all answered; who leaves a mark open is bound anew."""
        oldest = self.now - self.patience()
        late = [px for px in users if px.open and px.open[0][1] < oldest]
        moved = self.changes(tab)
        if late:
            binds += [(px, tab) for px in late if self.fits([px], self.size(tab), HASTY)]
            self.queue[tab] = self.now + min(RETRY_CAP, PATIENCE << min(tab.fails, 4))
            tab.fails += 1
        elif moved and (room := self.fits(users, len(moved), ORDINARY, 1)):
            self.put(tab, moved[:room])     # if that takes the channel long, the next waits: heads cost, too
            took = len(users) * (room + self.site.head + 1) * S / (self.site.channel_rate or S)
            self.queue[tab] = self.now + min(SOLVE, int(PACE * took))
        elif not moved and not any(px.open for px in users):
            tab.fails = 0
            del self.queue[tab]

    def removals(self, joined, users, loose):
        """Outside the queue's delays: a table sheds all its gone lines in one message, as heads cost more;
        who is not bound yet withdraws them. Until all is out nothing goes but binds and what rides along."""
        outs, due = [], {tab: [be for be in self.out if be in tab.told] for tab in users}
        for tab, gone in sorted(due.items(), key=lambda one: min((self.out[be] for be in one[1]), default=0)):
            room = self.fits(users[tab], len(gone), URGENT, (len(gone) + 1) // 2)
            for be in gone[:room]:
                del tab.told[be]
                self.sets.append(i.SetLine(tab.handle, be.handle, 0))
                tab.fails, self.queue[tab] = 0, self.now
            if room < len(gone):        # small tables must not take the room again and again
                break
        loose = [] if self.parted else loose    # a part's bind is no dearer than withdrawals, and does more
        for be in list(self.out):
            if not any(be in tab.told for tab in users) and self.fits(loose, 1, URGENT):
                outs += [i.Withdraw(be.handle, True)] if loose else []
                self.withdrawn.update({be: True} if loose else {})
                del self.out[be]
        for be in [be for be in self.withdrawn if be.state == "ready" and self.fits(joined, 1, HASTY)]:
            outs.append(i.Withdraw(be.handle, False))
            del self.withdrawn[be]
        return outs

    def drop(self, part):
        """Forgets one that is gone, if nothing needs it: its removal is out, and nobody unbound still holds
        it withdrawn (a bind clears that). Who comes back is taken as new, cold if it started lately."""
        loose = part in self.withdrawn and any(px.joined and px.table is None for px in self.hub.pxs)
        if loose or part in self.out or any(part in tab.told for tab in self.tabs):
            return False
        self.joins.pop(part, None)
        self.withdrawn.pop(part, None)
        return True

    def size(self, tab):
        return 2 + len({**tab.told, **tab.want}) + len(self.levels)

    @staticmethod
    def changes(tab):
        """The lines that differ, the furthest off first: what has room goes, the rest later."""
        off = {be: w / tab.told.get(be, 1e-9) - 1 for be, w in tab.want.items()
               if be.state == "ready" and (w or be in tab.told)}
        return [(be, tab.want[be]) for be in sorted(off, key=lambda be: -abs(off[be])) if abs(off[be]) > MOVE]

    def put(self, tab, lines):
        self.sets += [i.SetLine(tab.handle, be.handle, w) for be, w in lines]
        tab.told.update(lines)
        for be in [be for be, w in lines if not w]:
            del tab.told[be]

    def put_levels(self, tab, users, rank):
        for kind, row in self.levels.items():
            if tab.levels.get(kind) != row and self.fits(users, 1, rank):
                tab.levels[kind] = row
                self.sets.append(i.SetLevel(tab.handle, [kind], *row))


class Controller:
    """One instance. step() puts events into inboxes, empties them in one loop and returns the orders."""

    def __init__(self, seed, site, now=0):
        self.site, self.now, self.born, self.orders, self.seed, self.draws = site, now, now, [], seed, 0
        self.ready, self.bes, self.pxs, self.beat_at, self.spans = deque(), [], [], 0, deque(maxlen=KEEP)
        self.forget_at, self.tells_busy = now + SWEEP, False
        self.all_in = ALL_RATE if site.throttle == "rate" else 1.0
        self.timeout = max((k.client_timeout for k in site.kinds), default=S)
        kinds = site.kinds
        self.target = sum(k.credit * k.response_target for k in kinds) / (sum(k.credit for k in kinds) or 1)
        self.table = {kind: Row(self.all_in, 1) for kind in site.kinds}
        parts = Planner, Levels, Lookout, Channel
        self.planner, self.levels, self.lookout, self.channel = (part(self) for part in parts)

    def part(self, handle, kind, known):
        if handle.actor is None:
            handle.actor = kind(self, handle)
            known.append(handle.actor)
        return handle.actor

    def chance(self):
        self.draws += 1
        return crc32(f"{self.seed}:{self.draws}".encode())

    def cycle(self):
        """How long reports on a backend take to come round: longer than told where they are capped."""
        return max(self.site.report_cycle, median(self.spans or [0]))

    def zones(self):
        return [] if self.site.slices else dict.fromkeys(self.site.zones + [px.zone for px in self.pxs])

    def step(self, now, events):
        self.now, self.orders = now, []
        for ev in events:
            self.route(ev)
        self.empty()
        if now >= self.beat_at:
            self.beat()
        elif self.channel.urgent:           # a join or removal waits for no weights
            self.channel.tell("send", self.table)
            self.empty()
        return self.orders

    def route(self, ev):
        """To the part an event is for. With slices only removals are ordered."""
        if isinstance(ev, i.ListNews):
            self.lookout.tell("news", ev)
        elif isinstance(ev, i.Heard) and ev.backend.actor:
            ev.backend.actor.tell("heard", ev)
        elif isinstance(ev, (i.Arrivals, i.Joined, i.Left, i.Answered)):
            self.part(ev.proxy, Px, self.pxs).tell(type(ev).__name__.lower(), ev)

    def empty(self):
        while self.ready:
            part = self.ready.popleft()
            note, what = part.inbox.popleft()
            getattr(part, "on_" + note)(*what)

    def forget(self):
        """Guards against growth with all that ever was: by churn of proxies and backends over hours."""
        self.forget_at = self.now + SWEEP
        for tab in self.channel.tabs:
            tab.told = dict(tab.told)       # made anew, it has no empty places
        for known in (self.bes, self.pxs):
            for part in [p for p in known if p.gone_at is not None and self.now - p.gone_at > FORGET]:
                if self.channel.drop(part):
                    part.handle.actor = None
                    known.remove(part)

    def beat(self):
        self.beat_at = self.now + BEAT
        self.orders.append(i.Wake(0, BEAT))
        if self.now >= self.forget_at:
            self.forget()
        for part in (self.lookout, *self.bes, *self.pxs):
            part.tell("beat")
        self.empty()
        self.planner.tell("solve")
        self.empty()

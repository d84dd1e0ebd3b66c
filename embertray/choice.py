"""All of embertray's decisions.

How to call: make one Controller(seed, deployment) an instance, then orders = controller.step(now, events) for
each batch; `now` is in whole nanoseconds, events and orders are the types of embertray/interface.py. It keeps no
clock, thread or global; the same events give the same orders. docs/design.md tells what is from the design page.
"""
import zlib
from collections import deque
from statistics import median

from . import interface as i

MS, S = 10**6, 10**9
# -- constants: value, unit, reason
BEAT = 250 * MS          # ns; parts look again this often: well under any report cycle, few batches
SWEEP = 10 * S           # ns; the design page's sweep
SOLVE = 2 * S            # ns; weights are solved after about two report cycles, else one report counts twice
WINDOW = 8 * S           # ns; smoothing: some 50 answers a backend, so chance stays under the 20% threshold
SHORT = 4 * S            # ns; for health: the last two to four reports
KEEP = 64                # samples kept a backend: three zones' reports over WINDOW and some
MOVE = 0.20              # share; the design page's threshold of a weight's move
STEP = 0.25              # share; the design page's most for one move
EASE = 0.15              # of the response target: differences well under it are no reason to fill a fast machine
RATIO = 1.4              # x; most that latency counts for at once: past it, it tells of a queue, not of speed
LOADED = 0.15            # share off the median of the told loads: a backend so far off is not moved further off
HEARD = 8                # tries in WINDOW; fewer say nothing, the backend counts as average
CRAWL, FAST = 3.0, 0.5   # x median latency, and the larger step down past it: no chance does that over HEARD tries
CAP_LOW, CAP_HIGH = 0.25, 3.0   # x average: below it a backend is hardly heard, above it one node carries too much
HOME = 0.9              # share of a zone's reqs planned to stay home; the rest goes everywhere, so a loss is spread
SICK = 0.35              # share errored above the peers' median: past what chance does to a dozen tries
SICK_TRIES = 8           # tries in SHORT before a backend can be called sick
SICK_MOST = 0.35         # share of the ready ones shut out at most: more is no sick few but a general trouble
TRICKLE = 0.06           # of its weight, for a sick one: enough to hear of it within a few seconds
BACK = 2.0               # x weight a solve on the way back
BACK_TRIES = 3           # good tries before a step back
MUTE = 12 * S            # ns; a sick one not heard for so long gets a step back all the same
PATIENCE = 1 * S         # ns; the least a mark may take: proxies stand still while they apply tables
COLD_PART, COLD_TOP = 0.38, 0.95   # of the load a cold one falls under at average load, and the most until warm
RETRY_CAP = 8 * S        # ns; longest delay between repeats: below the sweep, so a retry still means something
SLOWEST = 8              # x; a channel may run so much slower than told: the ledger counts on no more than that
URGENT, ORDINARY = 0.85, 0.3    # of the lines that may wait: removals and joiners; weights and repeats
SPARE = 6                # messages to a proxy kept for removals where messages are limited
NEAR, NUDGE, BOOST = 0.95, 1.10, 4.0    # of the goal tried, below which levels grant more; and the most, as repeats may be denied again
HIGH, LOW = 0.6, 0.4   # of the response target: median latency where load is shed, and let in again
DONE_KEEP = 10           # looks; the most that was done in them is what the fleet can do
DRAIN, FULL = 0.75, 0.95   # x the most lately done: let in until the queues are gone, and then
FALLS = 0.9              # x the last look's latency: a queue that shrinks so is left to drain
AGAIN, GROW = 0.85, 1.05 # x the last goal where a queue comes back; and a look while answers are short
LOOK = 1 * S             # ns; between two looks at the load
LEVEL_MOVE = 0.08        # share; a level moves no less, each costs a line at every proxy
ALL_RATE = 10**6         # reqs a second at a proxy: no limit
MOST_FAIL = 0.4          # errored share past which a further try only adds to the load that makes tries fail
ASK_FIRST, ASK_CAP = 500 * MS, 4 * S     # ns; asking the list again after a failure: first and longest delay


class Actor:
    """A part with an inbox; a note is the name of an on_... method and what it is given."""

    def __init__(self, hub):
        self.hub, self.inbox = hub, deque()

    def tell(self, note, *what):
        self.inbox.append((note, what))
        self.hub.ready.append(self)

    def read(self):
        note, what = self.inbox.popleft()
        getattr(self, "on_" + note)(*what)


class Be(Actor):
    """A backend: what the list says of it, its last samples, its learnt capacity (1 = average) and health."""

    def __init__(self, hub, handle):
        super().__init__(hub)
        self.handle, self.zone, self.state, self.started = handle, None, None, 0
        self.cap, self.health, self.deaf_until, self.since = 1.0, 1.0, 0, 0
        self.samples = deque(maxlen=KEEP)

    def on_listed(self, entry):
        back = entry.state == "ready" and (self.state != "ready" or entry.started > self.started)
        self.zone = entry.zone
        if entry.state == "ready" and entry.started > self.started:
            self.health, self.deaf_until = 1.0, 0
            self.samples.clear()
        self.started = max(entry.started, self.started)
        if entry.state != "ready" and self.state != entry.state:
            self.hub.channel.tell("remove", self)
        elif back and self.state is not None:
            self.hub.channel.tell("restore", self)
        self.state = entry.state

    def on_dropped(self):
        if self.state != "gone":
            self.state = "gone"
            self.hub.channel.tell("remove", self)

    def on_heard(self, ev):
        if self.hub.now >= self.deaf_until and ev.tries > 0:
            self.samples.append((self.hub.now, ev.tries, min(ev.errored, ev.tries), ev.latency, self.told(ev.load)))

    @staticmethod
    def told(load):
        """Its own word of how loaded it is: the first such figure that the site's reports carry."""
        return next((load[name] for name in ("busy", "waiting", "held") if name in load), None)

    def load(self):
        told = [r[4] for r in self.samples if r[4] is not None and r[0] > self.hub.now - WINDOW]
        return sum(told) / len(told) if told else None

    def over(self, span):
        """Tries, errored, and mean latency with each error counted as a client time-out."""
        rows = [row for row in self.samples if row[0] > self.hub.now - span]
        tries, bad = sum(r[1] for r in rows), sum(r[2] for r in rows)
        took = sum((r[1] - r[2]) * r[3] + r[2] * self.hub.timeout for r in rows)
        return tries, bad, took / tries if tries else 0

    def lately(self):
        """Summed latency and number of those done in the newest reports."""
        rows = [r for r in self.samples if r[0] > self.hub.now - self.hub.site.report_cycle * 3 // 2]
        return sum((r[1] - r[2]) * r[3] for r in rows), sum(r[1] - r[2] for r in rows)

    def warmth(self):
        age = self.hub.now - self.started
        site = self.hub.site
        if self.started <= 0 or age >= site.warm_after:
            return 1.0
        told = site.cold_from + (1 - site.cold_from) * max(0, age) / site.warm_after
        return min(COLD_TOP, told * (COLD_PART * site.fall_multiple or 1))

    def on_beat(self):
        if self.state == "ready":
            self.hub.planner.tell("figures", self, self.over(WINDOW), self.over(SHORT), self.warmth(), self.load(), self.lately())

    def on_cap(self, cap):
        self.cap = cap

    def on_health(self, health):
        """Old reports tell of the time before: none counts until what was ordered now can have shown."""
        if health < self.health:
            self.deaf_until = self.hub.now + 2 * self.hub.site.report_cycle + self.hub.site.way_max
            self.samples.clear()
        self.health, self.since = health, self.hub.now


class Px(Actor):
    """A proxy: its zone, whether joined and bound, its open marks and the reqs that come to it."""

    def __init__(self, hub, handle):
        super().__init__(hub)
        self.handle, self.zone, self.joined, self.table, self.rate = handle, None, False, None, 0.0
        self.open, self.repeat_at, self.fails, self.sent = deque(), 0, 0, deque()
        self.samples = deque(maxlen=KEEP)

    def on_joined(self, ev):
        self.zone, self.joined, self.table, self.rate = ev.zone, True, None, ev.rate
        self.open.clear()
        self.sent.clear()
        self.fails = 0
        self.hub.channel.tell("join", self)

    def on_left(self):
        self.joined, self.table = False, None
        self.open.clear()

    def on_arrived(self, ev):
        self.samples.append((self.hub.now, ev.kind, ev.reqs, ev.lost, ev.span))

    def on_beat(self):
        """Its reqs a second by kind, over the samples in WINDOW; what it said on joining until some came."""
        if self.joined:
            rates = {}
            for kind in self.hub.site.kinds:
                rows = [r for r in self.samples if r[1] is kind and r[0] > self.hub.now - WINDOW]
                span = sum(r[4] for r in rows)
                rates[kind] = (sum(r[2] for r in rows) * S / span if span else
                               self.rate / len(self.hub.site.kinds))
            self.hub.planner.tell("demand", self, sum(rates.values()))
            self.hub.levels.tell("demand", self, rates)


class Planner(Actor):
    """Weights: learnt capacity x warmth x health, and the lines of each zone's table."""

    def __init__(self, hub):
        super().__init__(hub)
        self.rows, self.need, self.next_solve = [], {}, 0

    def on_figures(self, *row):
        self.rows.append(row)

    def on_demand(self, px, rate):
        self.need[px.zone] = self.need.get(px.zone, 0.0) + rate

    def on_solve(self):
        rows, need, self.rows, self.need = self.rows, self.need, [], {}
        heard = [r for r in rows if r[1][0] >= HEARD and r[3] >= 1 and r[0].health >= 1]
        done = [r[5] for r in rows]
        caps = {r[0]: r[0].cap for r in rows}
        if self.hub.now >= self.next_solve:
            self.next_solve = self.hub.now + SOLVE
            self.learn(heard, caps)
            self.judge_back(rows)
        health = self.judge(rows)
        self.hub.levels.tell("state", sum(d[0] for d in done) / (sum(d[1] for d in done) or 1), sum(r[2][0] for r in rows),
                             sum(r[2][1] for r in rows), sum(caps[r[0]] * r[3] for r in rows) or 1.0)
        self.lines({r[0]: caps[r[0]] * r[3] * health[r[0]] for r in rows}, need)

    def learn(self, heard, caps):
        """The companion's estimate: done rate x median latency / own, moved past MOVE only, by STEP at most.
        A told load vetoes a move that would take a backend further from its peers' load: latency alone shows a
        full queue late and starves slow machines that have time. Hurts where loads are told wrongly."""
        if len(heard) < 2:
            return
        mid, ease = median(r[1][2] for r in heard), EASE * self.hub.target
        est = {r[0]: (r[1][0] - r[1][1]) * min(RATIO, max(1 / RATIO, (mid + ease) / (r[1][2] + ease))) for r in heard}
        mean = sum(est.values()) / len(est)
        load, own = {r[0]: r[4] for r in heard}, {r[0]: r[1][2] for r in heard}
        usual = median([v for v in load.values() if v is not None] or [0])
        for be, value in est.items():
            want = min(CAP_HIGH, max(CAP_LOW, value / mean if mean else 1.0))
            if abs(want / be.cap - 1) > MOVE and not (load[be] and (want - be.cap) * (load[be] - usual) > 0
                                                      and abs(load[be] - usual) > LOADED * usual):
                step = FAST if mid * CRAWL < own[be] else STEP
                caps[be] = be.cap * min(1 + STEP, max(1 - step, want / be.cap))
                be.tell("cap", caps[be])

    def judge(self, rows):
        """Guards against a backend that errs far more than its peers: quick errors, hangs, a death not yet listed.
        A general trouble moves the median along and shuts nobody out. Hurts where few peers are heard."""
        health = {r[0]: r[0].health for r in rows}
        share = {r[0]: r[2][1] / r[2][0] for r in rows if r[2][0] >= SICK_TRIES and r[0].health > TRICKLE}
        usual = median(share.values()) if share else 0
        bad = sorted((be for be, s in share.items() if s > SICK + usual), key=lambda be: -share[be])
        room = int(SICK_MOST * len(rows)) - sum(1 for h in health.values() if h < 1)
        for be in bad:
            if be.health < 1 or room > 0:
                room -= be.health >= 1
                health[be] = max(TRICKLE, health[be] * (1 - share[be]))
                be.tell("health", health[be])
                self.hub.say("a backend errs far more than its peers: its weight is cut")
        return health

    def judge_back(self, rows):
        for be, _, (tries, bad, took), *_ in rows:
            if be.health < 1 and self.hub.now > be.deaf_until and (
                    tries >= BACK_TRIES and bad <= tries / 4 or tries == 0 and self.hub.now - be.since > MUTE):
                be.tell("health", min(1.0, be.health * BACK))

    def lines(self, eff, need):
        """Zone tables hold all listed. Where crossing costs, a part of a zone's reqs stays home as far as its own
        backends' part of the capacity reaches, and what it lacks goes where there is some to spare."""
        zones = list(dict.fromkeys(be.zone for be in eff))
        total, reqs = sum(eff.values()) or 1.0, sum(need.values()) or 1.0
        cap = {z: sum(w for be, w in eff.items() if be.zone is z) / total or 1e-9 for z in zones}
        spare = {z: max(0.0, cap[z] - need.get(z, 0.0) / reqs) for z in zones}
        keep = HOME if self.hub.site.cross_fee > 0 else 0.0
        for zone in self.hub.zones():
            want = need.get(zone, 0.0) / reqs
            home, away = min(want, cap.get(zone, 0.0)), sum(s for z, s in spare.items() if z is not zone)
            flow = {z: (home if z is zone else (want - home) * spare[z] / away if away else 0.0) for z in zones}
            part = {z: (keep * flow[z] / want if want else 0.0) / cap[z] + 1 - keep for z in zones}
            top = part.get(zone) or 1.0
            for be, w in eff.items():
                self.hub.channel.tell("want", zone, be, w * part[be.zone] / top)
        self.hub.channel.tell("send")


class Levels(Actor):
    """What is let in, and further tries."""

    def __init__(self, hub):
        super().__init__(hub)
        self.rates, self.goal, self.look_at, self.calm_at = {}, None, 0, 0
        self.full, self.mid, self.boost = 0.0, 0.0, 1.0
        self.done = deque(maxlen=DONE_KEEP)

    def on_demand(self, px, rates):
        self.rates[px] = rates

    def on_state(self, mid, tries, bad, able):
        rates, self.rates = self.rates, {}
        hub, kinds = self.hub, self.hub.site.kinds
        share = bad / tries if tries else 0.0
        if share > MOST_FAIL:
            self.calm_at = hub.now + hub.timeout
        if hub.now >= self.look_at and rates and hub.site.throttle != "none":
            self.look_at = hub.now + LOOK
            coming = sum(sum(r.values()) for r in rates.values())
            self.done.append((tries - bad) * S / SHORT / able)
            tried = tries * S / SHORT / able
            falls, self.mid = mid < FALLS * self.mid, mid
            if mid > HIGH * hub.target and not (self.goal and falls):
                self.full = max(self.done) if self.goal is None else AGAIN * max(self.full, self.goal)
                self.goal = DRAIN * self.full
                self.look_at = hub.now + hub.timeout // 2 + 2 * hub.site.report_cycle
                hub.say(f"overload: {self.goal * able:.0f} of {coming:.0f} reqs a second let in")
            elif self.goal is not None and mid < LOW * hub.target:
                if tried < NEAR * self.goal:
                    self.boost = min(BOOST, self.boost * NUDGE)
                else:
                    self.goal = max(FULL * self.full, self.goal * GROW)
                if self.goal * able > coming:
                    self.goal = None
                    hub.say("overload over: all let in")
            if self.goal is None or tried > self.goal:
                self.boost = max(1.0, self.boost / NUDGE)
            self.shed(rates, coming, able)
        for kind in kinds:
            kind.actor.retry = 0 if hub.now < self.calm_at else 1
        hub.channel.tell("levels", [(k, k.actor.level, k.actor.retry) for k in kinds])

    def shed(self, rates, coming, able):
        """Sheds the least credit first, as much as the reqs let in exceed what was lately done."""
        over = max(0.0, coming - self.goal * able * self.boost) if self.goal is not None else 0.0
        for kind in sorted(self.hub.site.kinds, key=lambda k: k.credit):
            come = [r[kind] for r in rates.values()]
            cut = min(over, 0.97 * sum(come))
            over -= cut
            left = 1 - cut / sum(come) if sum(come) else 1.0
            if self.hub.site.throttle == "rate":
                level = ALL_RATE if cut <= 0 else self.limit(come, left * sum(come))
            else:
                level = 1.0 if cut <= 0 else left
            if abs(level / kind.actor.level - 1) > LEVEL_MOVE:
                kind.actor.level = level

    @staticmethod
    def limit(come, allowed):
        """The rate at each proxy under which all of them together let in no more than allowed."""
        rest, n = allowed, len(come)
        for rate in sorted(come):
            if rate * n >= rest:
                return max(rest / n, 0.01)
            rest, n = rest - rate, n - 1
        return ALL_RATE


class Row:
    """A request kind's row: what is let in and how it is tried again."""

    def __init__(self, level, retry):
        self.level, self.retry = level, retry


class Lookout(Actor):
    """Follows the list; in ask mode watches it, and asks again with backoff after a failure."""

    def __init__(self, hub):
        super().__init__(hub)
        self.fails, self.ask_at = 0, 0 if hub.site.ask else None

    def on_news(self, news):
        if news.how == "failed":
            delay = min(ASK_CAP, ASK_FIRST << min(self.fails, 6))
            self.fails += 1
            self.ask_at = self.hub.now + delay
            self.hub.say("the list did not answer: asked again soon")
            return
        if news.how != "cached":
            self.fails = 0
        for entry in news.entries:
            self.hub.be(entry.backend).tell("listed", entry)
        if news.how in ("whole", "cached"):
            named = {entry.backend for entry in news.entries}
            for be in self.hub.bes:
                if be.handle not in named:
                    be.tell("dropped")

    def on_beat(self):
        if self.ask_at is not None and self.hub.now >= self.ask_at:
            self.ask_at = None
            self.hub.order(i.Subscribe())


class Channel(Actor):
    """Tables as wanted and as told, the queue of changed tables, marks, and the ledger that every order passes."""

    def __init__(self, hub):
        super().__init__(hub)
        self.want, self.told, self.levels, self.level_told = {}, {}, [], {}
        self.joins, self.out, self.back, self.withdrawn = {}, {}, {}, {}
        self.flight, self.took, self.sweep_at = deque(), deque(maxlen=8), 0
        self.lines, self.urgent = {}, False

    def on_want(self, zone, be, weight):
        if be.state == "ready":
            self.want.setdefault(zone, {})[be] = weight

    def on_levels(self, levels):
        self.levels = levels

    def on_join(self, px):
        self.joins[px] = True
        self.urgent = True

    def on_remove(self, be):
        self.back.pop(be, None)
        self.out[be] = True
        self.urgent = True
        for lines in self.want.values():
            lines.pop(be, None)

    def on_restore(self, be):
        self.out.pop(be, None)
        self.back[be] = True

    def on_answered(self, px, mark, took):
        self.took.append(took)
        while self.flight and self.flight[0][0] is not mark and any(f[0] is mark for f in self.flight):
            self.flight.popleft()
        if any(m is mark for m, _ in px.open):
            while px.open.popleft()[0] is not mark:
                pass
            px.fails = 0

    def waiting(self):
        """Lines that may still wait: what went after the last mark known to be through, at the slowest pace."""
        return sum(max(0.0, n - (self.hub.now - at) * self.hub.site.channel_rate / SLOWEST / S) if k == 0 else n
                   for k, (_, at, n) in enumerate(self.flight))

    def patience(self):
        ahead = int(self.waiting() * S / (self.hub.site.channel_rate or 1))
        return PATIENCE + self.hub.site.way_max + 2 * max(self.took, default=0) + 2 * ahead

    def fits(self, adds, part):
        """Books lines at proxies if the channel, and each proxy's messages, have room for them."""
        site, now = self.hub.site, self.hub.now
        cost = sum(n + (0 if px in self.lines else site.head + 1) for px, n in adds.items())
        spent = sum(n + site.head + 1 for n in self.lines.values())
        if site.pending_max and self.waiting() + spent + cost > part * site.pending_max:
            return False
        for px in adds:
            while px.sent and px.sent[0] <= now - site.messages_window:
                px.sent.popleft()
            most = site.messages_max - (1 if part == URGENT else SPARE)
            if site.messages_max and px not in self.lines and len(px.sent) >= most:
                return False
        for px, n in adds.items():
            self.lines[px] = self.lines.get(px, 0) + n
        return True

    def joined(self):
        return [px for px in self.hub.pxs if px.joined]

    def on_send(self):
        """One message a proxy: joiners and removals first, then cuts, levels, repeats, and weights last."""
        hub, now, sets, binds, outs = self.hub, self.hub.now, [], [], []
        self.lines, self.urgent = {}, False
        for zone in hub.zones():
            self.told.setdefault(zone, {})
            if not any(px.table is zone for px in hub.pxs):
                self.fill(zone, sets)
        users = {zone: [px for px in self.joined() if px.table is zone] for zone in hub.zones()}
        for px in list(self.joins):
            if not px.joined:
                del self.joins[px]
            elif self.want.get(px.zone) and self.fits({px: self.size(px.zone)}, URGENT):
                binds.append(px)
                del self.joins[px]
        for be in list(self.out):
            adds = {px: 1 for px in self.joined()}
            for zone, told in self.told.items():
                for px in users.get(zone, []) if be in told else []:
                    adds[px] += 1
            if self.fits(adds, URGENT):
                outs.append(i.Withdraw(be.handle, True))
                for zone, told in self.told.items():
                    if told.pop(be, None) is not None:
                        sets.append(i.SetLine(hub.table(zone), be.handle, 0))
                self.withdrawn[be] = True
                del self.out[be]
        for be in list(self.back):
            if be not in self.withdrawn:
                del self.back[be]
            elif self.fits({px: 1 for px in self.joined()}, URGENT):
                outs.append(i.Withdraw(be.handle, False))
                del self.back[be], self.withdrawn[be]
        for zone, px_of in users.items():
            self.table_orders(zone, px_of, sets)
        for px in self.joined():
            if px.open and px.table and now - px.open[0][1] > self.patience() and now >= px.repeat_at:
                if self.fits({px: self.size(px.zone)}, ORDINARY):
                    binds.append(px)
                    px.repeat_at = now + min(RETRY_CAP, PATIENCE << min(px.fails, 4))
                    px.fails += 1
        for px in binds:
            px.table = px.zone
        hub.orders += sets + [i.Bind(px.handle, hub.table(px.zone)) for px in binds] + outs
        if self.lines:
            mark = i.Mark()
            hub.order(i.PutMark(mark))
            for px in self.lines:
                px.open.append((mark, now))
                px.sent.append(now)
            self.flight.append((mark, now, sum(n + hub.site.head + 1 for n in self.lines.values())))

    def size(self, zone):
        return 2 + len(self.told[zone]) + len(self.levels) + len(self.withdrawn)

    def fill(self, zone, sets):
        """A table that nobody uses yet costs nothing: it is brought up to date whole."""
        want, told = self.want.get(zone, {}), self.told[zone]
        sets += [i.SetLine(self.hub.table(zone), be.handle, w) for be, w in want.items() if told.get(be) != w]
        told.update(want)
        self.level_orders(zone, [], sets)

    def changes(self, zone):
        return [(be, w) for be, w in self.want.get(zone, {}).items()
                if be not in self.told[zone] or abs(w / self.told[zone][be] - 1) > MOVE]

    def table_orders(self, zone, users, sets):
        """Cuts go at once; other lines wait until the table's last change is answered by all."""
        told, moved = self.told[zone], self.changes(zone)
        cuts = [(be, w) for be, w in moved if be in told and w < 0.5 * told[be]]
        calm = not any(px.open for px in users)
        if users:
            self.level_orders(zone, users, sets)
        for lines, part in ((cuts, URGENT), ([m for m in moved if m not in cuts] if calm else [], ORDINARY)):
            if lines and users and self.fits({px: len(lines) for px in users}, part):
                for be, w in lines:
                    sets.append(i.SetLine(self.hub.table(zone), be.handle, w))
                    told[be] = w

    def level_orders(self, zone, users, sets):
        told = self.level_told.setdefault(zone, {})
        for kind, level, retry in self.levels:
            usual = (self.hub.open_level, self.hub.site.retry_base)
            if told.get(kind, usual) != (level, retry) and self.fits({px: 1 for px in users}, URGENT):
                told[kind] = (level, retry)
                sets.append(i.SetLevel(self.hub.table(zone), [kind], level, retry))


class Controller:
    """One instance. step() puts a batch's events into inboxes, empties them in one loop, and returns the orders."""

    def __init__(self, seed, site):
        self.seed, self.site, self.now, self.drawn, self.orders = seed, site, 0, 0, []
        self.ready, self.bes, self.pxs, self.tables, self.beat_at = deque(), [], [], {}, 0
        self.open_level = ALL_RATE if site.throttle == "rate" else 1.0
        self.timeout = max((k.client_timeout for k in site.kinds), default=S)
        credit = sum(k.credit for k in site.kinds) or 1.0
        self.target = sum(k.credit * k.response_target for k in site.kinds) / credit
        for kind in site.kinds:
            kind.actor = Row(self.open_level, 1)
        self.planner, self.levels = Planner(self), Levels(self)
        self.lookout, self.channel = Lookout(self), Channel(self)

    def chance(self):
        self.drawn += 1
        return zlib.crc32(f"{self.seed}:{self.drawn}".encode()) / 2**32

    def order(self, order):
        self.orders.append(order)

    def say(self, text):
        self.order(i.Log(text))

    def be(self, handle):
        if handle.actor is None:
            handle.actor = Be(self, handle)
            self.bes.append(handle.actor)
        return handle.actor

    def px(self, handle):
        if handle.actor is None:
            handle.actor = Px(self, handle)
            self.pxs.append(handle.actor)
        return handle.actor

    def zones(self):
        return list(dict.fromkeys(self.site.zones + [px.zone for px in self.pxs if px.zone]))

    def table(self, zone):
        return self.tables.setdefault(zone, i.Table())

    def step(self, now, events):
        self.now, self.orders = now, []
        for ev in events:
            self.route(ev)
        self.empty()
        if now >= self.beat_at or self.channel.urgent:
            self.beat()
        return self.orders

    def route(self, ev):
        if isinstance(ev, i.ListNews):
            self.lookout.tell("news", ev)
        elif isinstance(ev, i.Heard):
            if ev.backend.actor:
                ev.backend.actor.tell("heard", ev)
        elif isinstance(ev, i.Arrivals):
            self.px(ev.proxy).tell("arrived", ev)
        elif isinstance(ev, i.Joined):
            self.px(ev.proxy).tell("joined", ev)
        elif isinstance(ev, i.Left):
            self.px(ev.proxy).tell("left")
        elif isinstance(ev, i.Answered):
            self.channel.tell("answered", self.px(ev.proxy), ev.mark, ev.took)

    def empty(self):
        while self.ready:
            self.ready.popleft().read()

    def beat(self):
        if self.now >= self.beat_at:
            self.beat_at = self.now + BEAT
            self.order(i.Wake(0, BEAT))
        for part in (self.lookout, *self.bes, *self.pxs):
            part.tell("beat")
        self.empty()
        if not self.site.slices:
            self.planner.tell("solve")
        self.empty()

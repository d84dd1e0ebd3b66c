"""What a cluster claims of itself, held against what its members said; no I/O. Fed by the rig with what true
processes answer, and by the emulator with its members.

seen    a member that nothing passes to or from is dead or left at all others within `death`
wrong   a member that has been within reach for `whole` is not taken for dead
fresh   what a member told is within the staleness bound at all that reach it directly, once they have for
`whole` and the bound
        (which grows by what exchanges with unreachable others take)
young   what is held of a member that is out of reach is as old as its silence: no old entry passes for a new
one. Its silence
        begins when it was last in reach of anybody who was, later, in reach of the holder
alone   a process that nothing passes to or from says within `death` that it is cut off; one in reach of
others for `whole` does not

Within reach: both ways, or by helpers, whichever are drawn. Poor ways (lost beyond LOSSY, late beyond a
quarter of the period) are neither within reach nor out of it: nothing is claimed there.
"""

from embertray.cluster.membership import MembershipConfig
from embertray.cluster.state.staleness import staleness_bound_ns

S = 10**9
NAMES = ("seen", "wrong", "fresh", "young", "alone")
LOSSY = 0.3  # share lost both ways that the detector is made for (docs/measured/cluster.md)
FACTS = S  # ns until an owner tells its facts anew


def death(members, period):
    """ns: a probe in two rounds; a suspicion that nobody confirms; two rounds to tell; a probe of one's own
    by who is told. Probes are stretched by one's own trouble."""
    pace = MembershipConfig(probe_period=period)
    return (
        2 * (members - 1) + 2 * (pace.max_health_steps + 1) + 2 * members
    ) * period + pace.suspicion_timeout(members, 0)


def whole(members, period):
    """ns: a ping to one that is taken for dead, in its turn; what one knows to each other, in turns; and the
    denials of who lives.
    """
    return (
        5 * -(-(members - 1) // MembershipConfig().indirect_probes) + 5 * (members - 1) + 1 + 2 * members
    ) * period


class Claims:
    """`web`: the ways; `slack`: ns that looking takes. Hand in what happens to processes and what each said;
    read `broken`, `worst` (greatest age over its bound) and `looks`. No claim is made before `on_up` was told
    of a process."""

    def __init__(self, web, period, exchange, slack):
        self.web, self.period, self.exchange, self.slack = web, period, exchange, slack
        self.names, self.there, self.still = list(web.members), set(), set()
        self.near, self.far = {}, {}  # (a, b) -> since when within reach, out of it
        self.last = {
            a: dict.fromkeys(self.names, 0) for a in self.names
        }  # holder -> of whom -> when that was last in reach
        self.groups, self.direct, self.helpers = (
            {},
            {},
            MembershipConfig().indirect_probes,
        )  # (a, b) -> (since when, members that the better connected of the two misses)
        self.broken, self.worst, self.looks, self.held = (
            {name: [] for name in NAMES},
            0.0,
            0,
            dict.fromkeys(NAMES, 0),
        )
        self.death, self.whole = death(len(self.names), period), whole(len(self.names), period)
        self.fine, self.joined = self.seen_ways()
        self.came, self.came_at = set(), 0  # who came up at that instant and is not taken up yet
        web.watching.append(self.bent)

    # ---- what happens

    def on_up(self, at, name):
        """Those that come up at one instant are taken up as one change: what follows from each is a part
        of what follows from all, and a start of hundreds at once costs one look at all pairs."""
        if at != self.came_at:
            self.take_up()
        self.came_at = at
        self.came.add(name)

    def take_up(self):
        came, self.came = self.came, set()
        if came:
            self.there |= came
            self.still -= came
            self.changed(self.came_at, came)

    def on_down(self, at, name):
        self.take_up()
        self.there.discard(name)
        self.changed(at, {name})

    def on_still(self, at, name):
        self.take_up()
        self.still.add(name)
        self.changed(at, {name})

    def on_go_on(self, at, name):
        self.take_up()
        self.still.discard(name)
        self.changed(at, {name})

    def bent(self, at):
        """Ways of the web were bent, or made straight."""
        self.take_up()
        self.fine, self.joined = self.seen_ways()
        self.changed(at)

    def seen_ways(self):
        """(name -> those to whom its messages pass well, name -> those to or from whom anything passes)"""
        fine, joined = ({name: set() for name in self.names} for _ in range(2))
        for a in self.names:
            for b in self.names:
                if a != b and self.is_fine(a, b):
                    fine[a].add(b)
                if a != b and self.web.way(a, b).open:
                    joined[a].add(b)
                    joined[b].add(a)
        return fine, joined

    def is_fine(self, a, b):
        way = self.web.way(a, b)
        return way.open and way.drop <= LOSSY and way.delay + way.jitter <= self.period // 4

    def parts(self, living):
        """Each living name's group: those that something passes between, directly or through others."""
        group, left = {}, set(living)
        while left:
            first = left.pop()
            found, edge = {first}, [first]
            while edge:
                one = edge.pop()
                more = left & self.joined[one]
                found |= more
                left -= more
                edge += more
            group.update(dict.fromkeys(found, frozenset(found)))
        return group

    def changed(self, at, struck=frozenset()):
        """Who reaches whom now, and since when; `struck`: all times of these begin anew."""
        living = [name for name in self.names if name in self.there and name not in self.still]
        there, fine = set(living), self.fine
        good = {a: {b for b in fine[a] & there if a in fine[b]} for a in living}
        self.settle(at)
        any_way = self.groups = self.parts(living)
        self.settle(at)
        most, count = self.helpers, len(self.names)
        for a in self.names:
            ours = good.get(a, set())
            for b in self.names:
                if a == b:
                    continue
                theirs, near = good.get(b, set()), b in ours
                if not near and a in good and b in good:  # by helpers, whichever are drawn
                    near = count - 2 - len(ours & theirs) < min(most, count - 2)
                direct = count - 1 - max(len(ours), len(theirs)) if b in ours else None
                for since, holds in ((self.near, near), (self.far, b not in any_way.get(a, ()))):
                    if not holds:
                        since.pop((a, b), None)
                    elif (a, b) not in since or a in struck or b in struck and since is not self.far:
                        since[a, b] = at
                if direct is None:
                    self.direct.pop((a, b), None)
                elif self.direct.get((a, b), (0, None))[1] != direct or a in struck or b in struck:
                    self.direct[a, b] = at, direct

    def settle(self, at):
        """What each group's members may know by now, of each other and of those whom one of them met
        before.
        """
        for group in set(self.groups.values()):
            known, newest = [self.last[one] for one in group], dict.fromkeys(group, at)
            for name in self.names:
                if name not in newest:
                    newest[name] = max(of[name] for of in known)
            for one in group:
                self.last[one] = dict(newest)

    # ---- what they said

    def breaks(self, claim, at, text):
        if len(self.broken[claim]) < 10:
            self.broken[claim].append(f"at {at / S:.2f} s: {text}")

    def look(self, at, who, states, ages, cut_off):
        """`states`: name -> word; `ages`: name -> ns or None, of what `who` holds of the others. Whoever
        looks while a change is under way asks for nothing: all claims count from the change."""
        self.take_up()
        if who not in self.there or who in self.still:
            return
        self.looks += 1
        for other in [name for name in self.names if name != who]:
            state, age = states.get(other), ages.get(other)
            near, far = (at - since.get((who, other), at) for since in (self.near, self.far))
            if far > self.death + self.slack:
                self.held["seen"] += 1
                if state not in ("dead", "left", None):
                    self.breaks(
                        "seen", at, f"{who} takes {other} for {state}, out of reach for {far / S:.1f} s"
                    )
            if near > self.whole + self.slack:
                self.held["wrong"] += 1
                if state not in ("alive", "suspect"):
                    self.breaks(
                        "wrong", at, f"{who} takes {other} for {state}, within reach for {near / S:.1f} s"
                    )
            if (who, other) in self.direct:
                since, failing = self.direct[who, other]
                most = staleness_bound_ns(len(self.names), self.period, self.exchange, failing) + FACTS
                if at - since > self.whole + most + self.slack:
                    self.held["fresh"] += 1
                    self.worst = max(self.worst, (age if age is not None else 99 * most) / most)
                    if age is None or age > most + self.slack:
                        self.breaks(
                            "fresh",
                            at,
                            f"{who} holds of {other} what is "
                            f"{'nothing' if age is None else f'{age / S:.2f} s old'}, "
                            f"over {most / S:.2f} s",
                        )
            silent = at - self.last[who][other] if far else 0
            if silent > self.exchange + self.slack and age is not None:
                self.held["young"] += 1
                if age < silent - self.exchange - self.slack:
                    self.breaks(
                        "young",
                        at,
                        f"{who} holds of {other} what is {age / S:.2f} s old, silent for {silent / S:.2f} s",
                    )
        others = [name for name in self.names if name != who]
        if others and all(at - self.far.get((who, name), at) > self.death + self.slack for name in others):
            self.held["alone"] += 1
            if not cut_off:
                self.breaks("alone", at, f"{who} does not say that it is cut off")
        elif any(at - self.near.get((who, name), at) > self.whole + self.slack for name in others):
            self.held["alone"] += 1
            if cut_off:
                self.breaks("alone", at, f"{who} says that it is cut off")

    def verdicts(self):
        """claim -> kept, broken, or not met where no look came to ask for it."""
        return {
            name: "broken" if self.broken[name] else "kept" if self.held[name] else "not met"
            for name in NAMES
        }

"""A plain proxy without its sockets: it does what its tables say, and nothing else. Time and events in,
verdicts out.

It picks a line by weight, tries again only as its levels say, and counts what it met for its sums. It judges
no backend, except that it may eject one for a while after a run of its own failures, where the site says so.
The stand-in carries its verdicts over sockets, the emulator through an event heap.
"""

from bisect import bisect
from itertools import accumulate

import numpy as np

from embertray.controller.stream.messages import ArrivalTotals, BackendTotals, LoadReport
from embertray.controller.stream.routing_state import RoutingState

S = 10**9
EJECT = 3 * S  # ns that an ejected backend is left alone


class StandsStill:
    """What comes to a process that is stopped waits, as (what, *args) in `held_back`; orders before requests
    when it goes on.
    """

    still = False

    def stand_still(self):
        self.still = True

    def go_on(self):
        self.still = False
        held, self.held_back = self.held_back, []
        for what, *args in sorted(held, key=lambda one: one[0] != self.apply):
            what(*args)


class Underway:
    """A request at the proxy: where it is now, and what was tried. `back` is free for whoever brought it."""

    __slots__ = (
        "req",
        "back",
        "at",
        "until",
        "tried",
        "backend",
        "sent",
        "timer",
        "attempt",
        "again",
        "left",
        "within",
    )

    def __init__(self, req, back, at, again):
        self.req, self.back, self.at, self.until = req, back, at, at + req.within
        self.tried, self.attempt, self.again = [], 0, again
        self.left = (0, 1, 1, 2)[again]
        self.backend = self.timer = None
        self.sent = self.within = 0


class Heard:
    """What was met at one backend since the last sums."""

    __slots__ = ("tries", "failed", "latency", "load")

    def __init__(self):
        self.tries = self.failed = self.latency = 0
        self.load = {}


class Proxy:
    """`site` tells how it picks, what levels mean and how it tries again; `rng` is its own."""

    def __init__(self, site, rng, standing=()):
        self.site, self.rng, self.routing_state = site, rng, RoutingState(standing)
        self.kinds = {kind.external_id: kind for kind in site.kinds}
        self.heard, self.came, self.buckets, self.since, self.serial = {}, {}, {}, 0, 0
        self.out, self.fails, self.ejected, self.current = {}, {}, {}, {}
        self.book = None  # names, weights, their sums: made anew after each change

    # ---- orders

    def apply(self, orders):
        self.routing_state.apply(orders)
        self.forget_book()

    def left(self):
        """Its stream broke."""
        self.routing_state.disconnected()

    def forget_book(self):
        if self.book:
            names, _, _, current, _ = self.book
            self.current.update(zip(names, current.tolist(), strict=False))
            self.book = None

    def read_book(self):
        if self.book is None:
            lines = self.routing_state.routable_lines()
            names, weights = list(lines), list(lines.values())
            weighed = np.array(weights, float)
            if (
                self.site.picks == "round"
            ):  # a round begins anywhere: else proxies of one table go in step, and
                for name, weight, draw in zip(
                    names, weights, self.rng.random(len(names)).tolist(), strict=False
                ):  # reach its
                    if name not in self.current:  # heaviest all together
                        self.current[name] = weight * draw
                self.current = {name: self.current[name] for name in names}
            self.book = (
                names,
                weighed,
                list(accumulate(weights)),
                np.array([self.current.get(name, 0.0) for name in names]),
                sum(weights),
            )
        return self.book

    # ---- requests

    def arrive(self, now, req, back):
        """An Underway to be tried, or None: denied."""
        came = self.came.get(req.kind)
        if came is None:
            came = self.came[req.kind] = [0, 0, 0]
        came[0] += 1
        came[2] += req.attempt > 1
        level, again = self.routing_state.levels.get(req.kind, (None, self.site.base_retry))
        return Underway(req, back, now, again) if self.admits(now, req.kind, level) else None

    def admits(self, now, kind, level):
        if level is None or self.site.levels == "none":
            return True
        if self.site.levels == "share":
            return level >= 1 or self.rng.random() < level
        tokens, at = self.buckets.get(kind, (1.0, now))
        most = max(1.0, level / 4)  # a quarter second's worth may come at once
        tokens = min(most, tokens + level * (now - at) / S)
        self.buckets[kind] = (tokens - 1 if tokens >= 1 else tokens), now
        return tokens >= 1

    def pick(self, now, tried):
        """A backend's name by its tables, or None."""
        names, weights, sums, current, total = self.read_book()
        if self.ejected:
            self.ejected = {name: until for name, until in self.ejected.items() if until > now}
        if tried or self.ejected:
            places = [k for k, name in enumerate(names) if name not in tried and name not in self.ejected]
            if not places:
                return None
            names, weights = [names[k] for k in places], weights[places]
            sums = list(accumulate(weights.tolist()))
            total = sums[-1]
        elif not names:
            return None
        else:
            places = slice(None)
        if self.site.picks == "round":
            current[places] += weights
            best = int(current[places].argmax())
            current[best if places == slice(None) else places[best]] -= total
            return names[best]
        if self.site.picks != "two":
            return names[min(bisect(sums, self.rng.random() * sums[-1]), len(names) - 1)]
        drawn = [names[min(bisect(sums, self.rng.random() * sums[-1]), len(names) - 1)] for _ in range(2)]
        return min(drawn, key=lambda name: self.out.get(name, 0))

    def attempt(self, now, under):
        """The next try: 'denied' or 'error' if there is none, else None and it is under way to
        `under.backend`, for `under.within` ns at most."""
        name = self.pick(now, under.tried)
        if name is None or now >= under.until:
            how = "denied" if name is None and not under.tried else "error"
            self.lost(under, how)
            return how
        self.serial += 1
        under.attempt = self.serial  # of this proxy's tries, so that late answers find no other
        under.backend, under.sent = name, now
        under.tried.append(name)
        self.out[name] = self.out.get(name, 0) + 1
        under.within = under.until - now
        if under.again >= 2 and under.left:
            under.within = min(
                under.within, int(self.site.per_try * self.kinds[under.req.kind].latency_objective)
            )
        return None

    def ended(self, now, under, attempt, how, load):
        """A try ended: done, full, error, broken, timeout or refused (never sent). None if it is over
        already; else 'done', 'error', or 'again': one more try is to be made."""
        if under.attempt != attempt or under.backend is None:
            return None
        name, under.backend = under.backend, None
        self.out[name] -= 1
        heard = self.heard.get(name)
        if heard is None:
            heard = self.heard[name] = Heard()
        heard.tries += 1
        heard.load = load or heard.load
        if how == "done":
            heard.latency += now - under.sent
            self.fails.pop(name, None)
            return "done"
        heard.failed += 1
        fails = self.fails[name] = self.fails.get(name, 0) + 1
        if self.site.eject_after and fails >= self.site.eject_after:
            self.ejected[name] = now + EJECT
            del self.fails[name]
        proof = how == "refused" or how == "full" and not self.site.full_may_have_run
        if under.left and now < under.until and (under.again >= 2 or proof):
            under.left -= 1
            return "again"
        self.lost(under, "error")
        return "error"

    def lost(self, under, how):
        if how == "error":
            self.came.setdefault(under.req.kind, [0, 0, 0])[1] += 1

    def wait_of(self, kind):
        """ns that a denied client of this kind is asked to stay away."""
        return self.routing_state.retry_after.get(kind, 0)

    # ---- sums

    def joined(self, now):
        """A new controller hears only what is met from now on."""
        self.heard, self.came, self.since = {}, {}, now

    def sums(self, now):
        """What was met and came since the last sums."""
        heard, came, span = self.heard, self.came, now - self.since
        self.joined(now)
        met = [BackendTotals(backend, h.tries, h.failed, h.latency, h.load) for backend, h in heard.items()]
        return LoadReport(span, met, [ArrivalTotals(kind, *counts) for kind, counts in came.items()])

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

NS_PER_SECOND = 10**9
EJECTION_NS = 3 * NS_PER_SECOND  # ns that an ejected backend is left alone


class PausableProcess:
    """What comes to a process that is stopped waits, as (what, *args) in `held_back`; orders before requests
    when it goes on.
    """

    paused = False

    def pause(self):
        self.paused = True

    def resume(self):
        self.paused = False
        deferred, self.deferred_calls = self.deferred_calls, []
        for callback, *args in sorted(deferred, key=lambda one: one[0] != self.apply):
            callback(*args)


class PendingRequest:
    """A request at the proxy: where it is now, and what was tried. `reply_to` is for whoever brought it."""

    __slots__ = (
        "request",
        "reply_to",
        "arrived_at",
        "deadline",
        "tried",
        "backend",
        "sent_at",
        "timer",
        "attempt",
        "retry_mode",
        "retries_left",
        "timeout",
    )

    def __init__(self, request, reply_to, arrived_at, retry_mode):
        self.request, self.reply_to, self.arrived_at, self.deadline = (
            request,
            reply_to,
            arrived_at,
            arrived_at + request.within,
        )
        self.tried, self.attempt, self.retry_mode = [], 0, retry_mode
        self.retries_left = (0, 1, 1, 2)[retry_mode]
        self.backend = self.timer = None
        self.sent_at = self.timeout = 0


class BackendCounts:
    """What was met at one backend since the last sums."""

    __slots__ = ("tries", "failed", "latency", "load")

    def __init__(self):
        self.tries = self.failed = self.latency = 0
        self.load = {}


class Proxy:
    """`site` tells how it picks, what levels mean and how it tries again; `rng` is its own."""

    def __init__(self, site, rng, standing_backends=()):
        self.site, self.rng, self.routing_state = site, rng, RoutingState(standing_backends)
        self.kinds = {kind.external_id: kind for kind in site.kinds}
        self.backend_counts, self.arrivals, self.buckets, self.counted_since, self.attempt_sequence = (
            {},
            {},
            {},
            0,
            0,
        )
        self.in_flight, self.consecutive_failures, self.ejected, self.round_robin_credits = {}, {}, {}, {}
        self.pick_table = None  # names, weights, their sums: made anew after each change

    # ---- orders

    def apply(self, orders):
        self.routing_state.apply(orders)
        self.invalidate_pick_table()

    def disconnected(self):
        """Its stream broke."""
        self.routing_state.disconnected()

    def invalidate_pick_table(self):
        if self.pick_table:
            names, _, _, round_robin_credits, _ = self.pick_table
            self.round_robin_credits.update(zip(names, round_robin_credits.tolist(), strict=False))
            self.pick_table = None

    def get_pick_table(self):
        if self.pick_table is None:
            lines = self.routing_state.routable_lines()
            names, weights = list(lines), list(lines.values())
            weight_array = np.array(weights, float)
            if (
                self.site.picks == "round"
            ):  # a round begins anywhere: else proxies of one table go in step, and
                for name, weight, draw in zip(
                    names, weights, self.rng.random(len(names)).tolist(), strict=False
                ):  # reach its
                    if name not in self.round_robin_credits:  # heaviest all together
                        self.round_robin_credits[name] = weight * draw
                self.round_robin_credits = {name: self.round_robin_credits[name] for name in names}
            self.pick_table = (
                names,
                weight_array,
                list(accumulate(weights)),
                np.array([self.round_robin_credits.get(name, 0.0) for name in names]),
                sum(weights),
            )
        return self.pick_table

    # ---- requests

    def arrive(self, now, request, reply_to):
        """An Underway to be tried, or None: denied."""
        arrivals = self.arrivals.get(request.kind)
        if arrivals is None:
            arrivals = self.arrivals[request.kind] = [0, 0, 0]
        arrivals[0] += 1
        arrivals[2] += request.attempt > 1
        level, retry_mode = self.routing_state.levels.get(request.kind, (None, self.site.base_retry))
        return (
            PendingRequest(request, reply_to, now, retry_mode)
            if self.admit(now, request.kind, level)
            else None
        )

    def admit(self, now, kind, level):
        if level is None or self.site.levels == "none":
            return True
        if self.site.levels == "share":
            return level >= 1 or self.rng.random() < level
        tokens, at = self.buckets.get(kind, (1.0, now))
        burst = max(1.0, level / 4)  # a quarter second's worth may come at once
        tokens = min(burst, tokens + level * (now - at) / NS_PER_SECOND)
        self.buckets[kind] = (tokens - 1 if tokens >= 1 else tokens), now
        return tokens >= 1

    def pick(self, now, tried):
        """A backend's name by its tables, or None."""
        names, weights, cumulative_weights, round_robin_credits, total = self.get_pick_table()
        if self.ejected:
            self.ejected = {name: until for name, until in self.ejected.items() if until > now}
        if tried or self.ejected:
            indices = [k for k, name in enumerate(names) if name not in tried and name not in self.ejected]
            if not indices:
                return None
            names, weights = [names[k] for k in indices], weights[indices]
            cumulative_weights = list(accumulate(weights.tolist()))
            total = cumulative_weights[-1]
        elif not names:
            return None
        else:
            indices = slice(None)
        if self.site.picks == "round":
            round_robin_credits[indices] += weights
            best = int(round_robin_credits[indices].argmax())
            round_robin_credits[best if indices == slice(None) else indices[best]] -= total
            return names[best]
        if self.site.picks != "two":
            return names[
                min(bisect(cumulative_weights, self.rng.random() * cumulative_weights[-1]), len(names) - 1)
            ]
        drawn = [
            names[min(bisect(cumulative_weights, self.rng.random() * cumulative_weights[-1]), len(names) - 1)]
            for _ in range(2)
        ]
        return min(drawn, key=lambda name: self.in_flight.get(name, 0))

    def attempt(self, now, pending):
        """The next try: 'denied' or 'error' if there is none, else None and it is under way to
        `under.backend`, for `under.timeout` ns at most."""
        name = self.pick(now, pending.tried)
        if name is None or now >= pending.deadline:
            outcome = "denied" if name is None and not pending.tried else "error"
            self.count_lost(pending, outcome)
            return outcome
        self.attempt_sequence += 1
        pending.attempt = self.attempt_sequence  # of this proxy's tries, so that late answers find no other
        pending.backend, pending.sent_at = name, now
        pending.tried.append(name)
        self.in_flight[name] = self.in_flight.get(name, 0) + 1
        pending.timeout = pending.deadline - now
        if pending.retry_mode >= 2 and pending.retries_left:
            pending.timeout = min(
                pending.timeout, int(self.site.per_try * self.kinds[pending.request.kind].latency_objective)
            )
        return None

    def attempt_ended(self, now, pending, attempt, outcome, load):
        """A try ended: done, full, error, broken, timeout or refused (never sent). None if it is over
        already; else 'done', 'error', or 'again': one more try is to be made."""
        if pending.attempt != attempt or pending.backend is None:
            return None
        name, pending.backend = pending.backend, None
        self.in_flight[name] -= 1
        counts = self.backend_counts.get(name)
        if counts is None:
            counts = self.backend_counts[name] = BackendCounts()
        counts.tries += 1
        counts.load = load or counts.load
        if outcome == "done":
            counts.latency += now - pending.sent_at
            self.consecutive_failures.pop(name, None)
            return "done"
        counts.failed += 1
        consecutive_failures = self.consecutive_failures[name] = self.consecutive_failures.get(name, 0) + 1
        if self.site.eject_after and consecutive_failures >= self.site.eject_after:
            self.ejected[name] = now + EJECTION_NS
            del self.consecutive_failures[name]
        never_ran = outcome == "refused" or outcome == "full" and not self.site.full_may_have_run
        if pending.retries_left and now < pending.deadline and (pending.retry_mode >= 2 or never_ran):
            pending.retries_left -= 1
            return "again"
        self.count_lost(pending, "error")
        return "error"

    def count_lost(self, pending, outcome):
        if outcome == "error":
            self.arrivals.setdefault(pending.request.kind, [0, 0, 0])[1] += 1

    def retry_after(self, kind):
        """ns that a denied client of this kind is asked to stay away."""
        return self.routing_state.retry_after.get(kind, 0)

    # ---- sums

    def joined(self, now):
        """A new controller hears only what is met from now on."""
        self.backend_counts, self.arrivals, self.counted_since = {}, {}, now

    def take_load_report(self, now):
        """What was met and came since the last sums."""
        counts, arrivals, span = self.backend_counts, self.arrivals, now - self.counted_since
        self.joined(now)
        met = [BackendTotals(backend, h.tries, h.failed, h.latency, h.load) for backend, h in counts.items()]
        return LoadReport(span, met, [ArrivalTotals(kind, *totals) for kind, totals in arrivals.items()])

"""A model of a plain proxy, without I/O: it follows its routing tables and decides nothing else.

It picks lines by weight, retries only as its admission levels say, and counts attempts for its load reports.
It does not judge backends, except that a site may let it eject one for a while after a number of consecutive
failures. The stand-in executes its decisions over sockets, the emulator with scheduled calls.
"""

from bisect import bisect
from itertools import accumulate

import numpy as np

from embertray.controller.stream.messages import ArrivalTotals, BackendTotals, LoadReport
from embertray.controller.stream.routing_state import RoutingState

NS_PER_SECOND = 10**9
EJECTION_NS = 3 * NS_PER_SECOND  # how long an ejected backend gets no requests


class PausableProcess:
    """Base of processes that can be stopped; meanwhile they defer calls, which `resume` makes.

    A subclass has `deferred_calls`, a list of (callback, *args), and a method `apply` for orders.
    """

    paused = False

    def pause(self):
        """Stops the process."""
        self.paused = True

    def resume(self):
        """Lets the process continue; deferred orders are applied before deferred requests."""
        self.paused = False
        deferred, self.deferred_calls = self.deferred_calls, []
        for callback, *args in sorted(deferred, key=lambda one: one[0] != self.apply):
            callback(*args)


class PendingRequest:
    """A request at the proxy, with its attempts.

    Args:
        request: The request as it arrived.
        reply_to: Where its outcome goes; the model does not use it.
        arrived_at: ns.
        retry_mode: 0 never; 1 once, after proof that it never ran; 2 once; 3 twice.

    Attributes:
        deadline: When its client gives up, ns.
        tried: Names of the backends that it was sent to.
        backend: The backend of the current attempt, or None.
        sent_at: When the current attempt was sent, ns.
        timer: The timer of the current attempt, set by the caller.
        attempt: Number of the current attempt.
        retries_left: Number of further attempts allowed.
        timeout: Of the current attempt, ns.
    """

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
    """Counts of one backend's attempts since the last load report."""

    __slots__ = ("tries", "failed", "latency", "load")

    def __init__(self):
        self.tries = self.failed = self.latency = 0
        self.load = {}


class Proxy:
    """A proxy's routing state, pending attempts and counts.

    Args:
        site: How proxies pick and retry, what levels mean, and when backends are ejected.
        rng: A numpy Generator of its own.
        standing_backends: Names of the backends that it uses before it has joined a controller.

    Attributes:
        routing_state: Its RoutingState.
        kinds: External id -> RequestKind.
        backend_counts: Backend -> BackendCounts.
        arrivals: Request kind -> [requests, lost ones, repeated attempts of clients].
        buckets: Request kind -> (tokens, when they were counted in ns), for levels that are rates.
        counted_since: When the last load report was taken, ns.
        attempt_sequence: Number of the last attempt.
        in_flight: Backend -> number of attempts in flight.
        consecutive_failures: Backend -> number of failures since the last success.
        ejected: Backend -> end of its ejection, ns.
        round_robin_credits: Backend -> its credit in the smooth weighted round-robin.
        pick_table: (names, weights, cumulative weights, round-robin credits, total weight) of the lines, or
            None after a change.
    """

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
        self.pick_table = None

    # ---- orders

    def apply(self, orders):
        """Applies an Orders message."""
        self.routing_state.apply(orders)
        self.invalidate_pick_table()

    def disconnected(self):
        """The stream to the controller broke."""
        self.routing_state.disconnected()

    def invalidate_pick_table(self):
        """Drops the pick table; the round-robin credits are kept."""
        if self.pick_table:
            names, _, _, round_robin_credits, _ = self.pick_table
            self.round_robin_credits.update(zip(names, round_robin_credits.tolist(), strict=False))
            self.pick_table = None

    def get_pick_table(self):
        """Returns the pick table, which is rebuilt if the lines changed."""
        if self.pick_table is None:
            lines = self.routing_state.routable_lines()
            names, weights = list(lines), list(lines.values())
            weight_array = np.array(weights, float)
            # Each proxy starts its round at a random position. Otherwise proxies with the same table would
            # send requests to its heaviest lines at the same time.
            if self.site.picks == "round":
                for name, weight, draw in zip(
                    names, weights, self.rng.random(len(names)).tolist(), strict=False
                ):
                    if name not in self.round_robin_credits:
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
        """Returns a PendingRequest to be attempted, or None if the request is denied."""
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
        """Returns whether the admission level lets a request of this kind pass at `now`, ns."""
        if level is None or self.site.levels == "none":
            return True
        if self.site.levels == "share":
            return level >= 1 or self.rng.random() < level
        tokens, at = self.buckets.get(kind, (1.0, now))
        burst = max(1.0, level / 4)  # requests of a quarter of a second may arrive at once
        tokens = min(burst, tokens + level * (now - at) / NS_PER_SECOND)
        self.buckets[kind] = (tokens - 1 if tokens >= 1 else tokens), now
        return tokens >= 1

    def pick(self, now, tried):
        """Returns the backend for the next attempt, or None; not one of `tried` and none that is ejected."""
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
        """Starts the next attempt of a request.

        Returns:
            None if there is one, to `pending.backend` with `pending.timeout`; otherwise the request's
            outcome, "denied" if it was never attempted, or "error".
        """
        name = self.pick(now, pending.tried)
        if name is None or now >= pending.deadline:
            outcome = "denied" if name is None and not pending.tried else "error"
            self.count_lost(pending, outcome)
            return outcome
        self.attempt_sequence += 1
        pending.attempt = self.attempt_sequence  # unique, so that a late answer matches no other attempt
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
        """Handles the end of an attempt.

        Args:
            now: ns.
            pending: The PendingRequest.
            attempt: The attempt's number.
            outcome: "done", "full", "error", "broken", "timeout", or "refused" if it was never sent.
            load: The backend's load report; empty if there is none.

        Returns:
            None if the attempt was over already; "again" if another is to be made; otherwise the request's
            outcome, "done" or "error".
        """
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
        """Counts a lost request, if its outcome is an error."""
        if outcome == "error":
            self.arrivals.setdefault(pending.request.kind, [0, 0, 0])[1] += 1

    def retry_after(self, kind):
        """Returns the delay after which clients may repeat denied requests of this kind, ns."""
        return self.routing_state.retry_after.get(kind, 0)

    # ---- load reports

    def joined(self, now):
        """The proxy joined a controller, to which it reports only what it counts from `now`, ns, on."""
        self.backend_counts, self.arrivals, self.counted_since = {}, {}, now

    def take_load_report(self, now):
        """Returns the LoadReport since the last one, and resets the counts."""
        counts, arrivals, span = self.backend_counts, self.arrivals, now - self.counted_since
        self.joined(now)
        met = [BackendTotals(backend, h.tries, h.failed, h.latency, h.load) for backend, h in counts.items()]
        return LoadReport(span, met, [ArrivalTotals(kind, *totals) for kind, totals in arrivals.items()])

"""Load shedding: how much of the requests the proxies admit, and whether they may retry.

Rule: each second the time that requests wait in queues is looked at. Over 0.38 of the latency objective,
unless it already falls or the queue is over, a goal is set: what the fleet can sustain, less the deeper the
longer the wait. While requests still queue the goal stays; once the wait is under 0.2 of the objective (0.38
while it falls) the goal rises by 1.5% a second, by 10% if it was a guess, until all that comes is admitted
again. A fleet that lost capacity and is busy sheds ahead of a queue what is over 1.3 times the most that it
was seen to do. What is over the goal is shed from the request kinds of least priority weight first, at most
0.97 of a kind.

Retries are allowed, after proof that the first attempt never ran, unless more than 0.3 of all attempts failed
lately: then they add to the fault. While some backends are cold in such a time, 0.4 of what comes is
admitted.

Units: the goal is in requests a second per capacity unit, which is an average backend times the usual
requests a second of this controller's proxies; so it holds when proxies move between controllers. Levels are
a share of a kind's requests, or requests a second at each proxy, as the deployment says.

Inputs: `FleetState` of the beat, rates of the joined proxies. Decides: `Context.admission`.

Guards against overload by a surge, by backends that are lost, cold or slow, and by clients' retries: in a jam
all requests come late, and none of them is worth anything.
"""

from collections import deque
from dataclasses import dataclass

from .context import UNLIMITED_RATE
from .interface import Log
from .records.levels import AdmissionLevel
from .units import MILLISECOND, SECOND

EVALUATION_INTERVAL = 1 * SECOND  # ns
EVALUATIONS_KEPT = 40  # looks whose most is taken for what can be done
UNQUEUED_EVALUATIONS = 5  # looks without a queue after which what came was done
WAIT_HIGH = 0.38  # of the latency objective: requests are shed
WAIT_LOW = 0.2  # of the latency objective: more are admitted
EVALUATIONS_UNTIL_LIMITS_KNOWN = 10  # looks after a start
ADMITTED_MIN = 0.3  # of the usual requests, at the least
ADMITTED_MIN_AFTER_START = 0.6  # of the usual requests, until the limits are known
CUT_MIN = 0.45  # of what can be done: the deepest cut
CUT_AT_WAIT_HIGH = 0.75  # of what can be done, at a wait of WAIT_HIGH; deeper the longer the wait
TARGET_AFTER_QUEUE = 0.95  # of what can be done, as soon as the queue is over
TARGET_AFTER_RELAPSE = 0.9  # of the former goal, if a queue builds up under it
GROWTH = 1.015  # on the goal at each look
GROWTH_OF_ESTIMATE = 1.1  # on the goal at each look, while it rests on no measured capacity
LOST_CAPACITY = 0.85  # of the most capacity lately: the fleet has shrunk
SHRUNK_LIMIT = 1.3  # times the most that was done, for a fleet that has shrunk
BUSY_AFTER_LOSS = 0.7  # mean reported busy share, of those left, under which nothing is shed ahead
SHED_MAX = 0.97  # of a kind's requests
LEVEL_CHANGE_MIN = 0.08  # share by which a level moves at the least: each change costs lines of the channel
PROXY_RATE_MIN = 0.01  # requests a second at a proxy, where levels are rates
FAILED_SHARE_MAX = 0.3  # of all attempts: past it retries add to the fault
ADMITTED_WHILE_FAILING = 0.4  # of what comes, while most fail and some backends are cold


@dataclass(frozen=True)
class Demand:
    """What comes to the joined proxies at one look."""

    offered: float  # requests a second now
    usual: float  # requests a second that usually come
    unit: float  # capacity units, see the module's docstring
    unit_max: float  # the largest of the last looks: reports lag behind proxies that leave


@dataclass(frozen=True)
class Limits:
    """The most of the last looks."""

    served: float  # answered requests a second per unit
    capacity: float  # average backends
    unqueued: float  # requests a second per unit that came while nothing queued


class LoadShedding:
    """Sets what is admitted once a second, and whether retries are allowed at each beat.

    Args:
        context: `Context` of the controller.
    """

    def __init__(self, context):
        self.context = context
        deployment = context.deployment
        # whether most attempts fail is not known before the first reports
        self._retries_at = context.now + context.client_timeout + deployment.report_interval
        self._next_evaluation_at = 0
        self._next_cut_at = 0
        self._target = None  # requests a second per unit; None: all are admitted
        self._sustainable = 0.0  # requests a second per unit that a full fleet is taken to do
        self._unit_at_cut = 1.0
        self._growth = GROWTH
        self._evaluations = deque(maxlen=EVALUATIONS_KEPT)
        self._unqueued_evaluations = deque(maxlen=UNQUEUED_EVALUATIONS)

    def update(self, state):
        """Sets `Context.admission` for this beat.

        Args:
            state: `FleetState` of this beat.
        """
        context = self.context
        now = context.now
        proxies = context.joined_proxies
        if (
            state.short_window.attempts
            and state.short_window.failed / state.short_window.attempts > FAILED_SHARE_MAX
        ):
            self._retries_at = now + context.client_timeout
        if now >= self._next_evaluation_at and proxies and context.deployment.throttle != "none":
            self._next_evaluation_at = now + EVALUATION_INTERVAL
            self._evaluate(state, proxies)
        retry = int(now >= self._retries_at)
        context.admission = {
            kind: AdmissionLevel(level.admitted, retry) for kind, level in context.admission.items()
        }

    def _evaluate(self, state, proxies):
        demand = self._demand(state, proxies)
        limits = self._limits(state, demand)
        self._update_target(state, demand, limits)
        self._shed(proxies, self._excess(state, demand, limits))

    def _demand(self, state, proxies):
        """What comes now, and what came while nothing queued and nobody was rejected.

        The latter is kept in the measure it is seen in: many proxies with few requests are counted too high.
        """
        context = self.context
        offered = sum(sum(proxy.rates.values()) for proxy in proxies)
        usual = sum(proxy.usual_rate for proxy in proxies) or 1.0
        unit = state.capacity * usual
        all_admitted = all(level.admitted == context.unlimited_level for level in context.admission.values())
        is_unqueued = (
            state.short_window.attempts
            and state.queue_wait < WAIT_LOW * context.latency_objective
            and all_admitted
        )
        self._unqueued_evaluations.append((offered if is_unqueued else 0.0, unit))
        return Demand(offered, usual, unit, max(unit for _, unit in self._unqueued_evaluations))

    def _limits(self, state, demand):
        unqueued = min(offered for offered, _ in self._unqueued_evaluations)
        unqueued_min = (
            unqueued / demand.unit_max if len(self._unqueued_evaluations) == UNQUEUED_EVALUATIONS else 0.0
        )
        self._evaluations.append(
            Limits(state.short_window.rate / demand.unit_max, state.capacity, unqueued_min)
        )
        return Limits(
            max(evaluation.served for evaluation in self._evaluations),
            max(evaluation.capacity for evaluation in self._evaluations),
            max(evaluation.unqueued for evaluation in self._evaluations),
        )

    def _update_target(self, state, demand, limits):
        """Cuts, lets the goal rise, or ends the overload."""
        now = self.context.now
        objective = self.context.latency_objective
        if self._target is not None and now < self._next_cut_at:
            # what a full fleet does, it can do
            served = state.short_window.rate / max(demand.unit_max, self._unit_at_cut)
            self._sustainable = max(self._sustainable, served)
        is_recovering = (state.latency_falling and self._target) or state.queues_drained
        wait_low = (WAIT_HIGH if state.latency_falling else WAIT_LOW) * objective
        if state.queue_wait > WAIT_HIGH * objective and not is_recovering and now >= self._next_cut_at:
            self._cut(state, demand, limits)
        elif self._target is not None and state.queue_wait < wait_low:
            self._raise_target(demand)
        elif now >= self._next_cut_at:
            self._growth = GROWTH

    def _cut(self, state, demand, limits):
        context = self.context
        sustainable = limits.served
        if self._target is not None:
            sustainable = TARGET_AFTER_RELAPSE * max(self._sustainable, self._target)
        limits_known = len(self._evaluations) > EVALUATIONS_UNTIL_LIMITS_KNOWN
        admitted_min = ADMITTED_MIN if limits_known else ADMITTED_MIN_AFTER_START
        floor = admitted_min * min(demand.offered, demand.usual) / demand.unit
        self._unit_at_cut = demand.unit
        self._sustainable = max(sustainable, floor)
        self._growth = GROWTH_OF_ESTIMATE if sustainable < self._sustainable else GROWTH
        cut_factor = max(CUT_MIN, CUT_AT_WAIT_HIGH * WAIT_HIGH * context.latency_objective / state.queue_wait)
        self._target = cut_factor * self._sustainable
        # the effect of a cut is seen once clients gave up and a round of reports came
        effect_delay = (
            context.client_timeout + context.deployment.report_interval + context.observed_report_interval
        )
        self._next_cut_at = context.now + effect_delay
        admitted = self._target * demand.unit
        context.orders.append(
            Log(
                f"overload: requests wait {state.queue_wait / MILLISECOND:.0f} ms in queues; "
                f"{admitted:.0f} of {demand.offered:.0f} requests/s admitted"
            )
        )

    def _raise_target(self, demand):
        self._target = max(TARGET_AFTER_QUEUE * self._sustainable, self._target * self._growth)
        if self._target * demand.unit > demand.offered:
            self._target = None
            self.context.orders.append(Log(f"overload over: all of {demand.offered:.0f} requests/s admitted"))

    def _excess(self, state, demand, limits):
        """Requests a second to be shed.

        What most was done tells what can be done only where the fleet lost capacity and the rest could not do
        all of it; without a goal nothing else is shed ahead of a queue.
        """
        has_shrunk = (
            len(self._evaluations) > EVALUATIONS_UNTIL_LIMITS_KNOWN
            and state.capacity < LOST_CAPACITY * limits.capacity
            and state.busy_share * limits.capacity > BUSY_AFTER_LOSS * state.capacity
        )
        limit = self._target
        if limit is None:
            limit = SHRUNK_LIMIT * max(limits.served, limits.unqueued) if has_shrunk else UNLIMITED_RATE
        excess = demand.offered - limit * demand.unit
        is_failing_while_cold = state.has_cold and self.context.now < self._retries_at
        return max(excess, (1 - ADMITTED_WHILE_FAILING) * demand.offered if is_failing_while_cold else 0.0)

    def _shed(self, proxies, excess):
        """Sheds so many requests a second, from the kinds of least priority weight first."""
        context = self.context
        for kind in sorted(context.deployment.kinds, key=lambda kind: kind.credit):
            rates = [proxy.rates[kind] for proxy in proxies]
            shed = min(excess, SHED_MAX * sum(rates))
            excess = excess - shed
            admitted = self._level(rates, shed) if shed > 0 else context.unlimited_level
            previous = context.admission[kind]
            has_moved = abs(admitted / previous.admitted - 1) > LEVEL_CHANGE_MIN
            if has_moved or admitted == context.unlimited_level != previous.admitted:
                context.admission[kind] = AdmissionLevel(admitted, previous.retry)

    def _level(self, rates, shed):
        """The level that leaves all but `shed` of the requests that come to the proxies."""
        admitted_rate = sum(rates) - shed
        if self.context.deployment.throttle == "rate":
            return equal_limit(rates, admitted_rate, self.context.unlimited_level)
        return admitted_rate / sum(rates)


def equal_limit(rates, admitted, unlimited_level):
    """The limit, alike at all proxies, that admits so many of all requests.

    Args:
        rates: requests a second that come to each proxy.
        admitted: requests a second to be admitted in all.
        unlimited_level: what stands for no limit.

    Returns:
        Requests a second at each proxy.
    """
    for proxies, rate in zip(range(len(rates), 0, -1), sorted(rates), strict=True):
        if rate * proxies >= admitted:
            return max(admitted / proxies, PROXY_RATE_MIN)
        admitted -= rate
    return unlimited_level

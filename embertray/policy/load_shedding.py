"""Load shedding: limits the requests that proxies admit, and whether proxies may retry.

Rule: once a second the queueing time of requests is evaluated. If it exceeds 0.38 of the latency objective,
unless it is already falling or the queue has drained, a target rate is set: the rate that the fleet can
sustain, reduced more the longer the wait. The target holds while requests still queue. Once the wait is under
0.2 of the objective (0.38 while latency falls), the target grows by 1.5% a second, or by 10% if it was an
estimate, until all offered requests are admitted again. A fleet that has lost capacity and is busy sheds what
exceeds 1.3 times its highest observed rate before a queue forms. The excess over the target is shed from the
request kinds with the lowest priority weight first, at most 0.97 of a kind.

Retries are allowed, after proof that the first attempt never ran, unless more than 0.3 of the recent attempts
failed: retries would then aggravate the fault. If some backends are cold at such a time, only 0.4 of the
offered requests are admitted.

Units: the target is in requests a second per capacity unit. A capacity unit is the capacity of an average
backend times the usual requests a second of this controller's proxies, so the target remains valid when
proxies move between controllers. A level is a share of a kind's requests, or requests a second at each proxy,
depending on the deployment.

Inputs: `FleetState` of the control cycle, rates of the joined proxies. Output: `Context.admission`.

Prevents overload by a surge, by lost, cold or slow backends, and by client retries: in a congested fleet all
responses come too late to be of use.
"""

from collections import deque
from dataclasses import dataclass

from .context import UNLIMITED_RATE
from .interface import Log
from .records.levels import AdmissionLevel
from .units import MILLISECOND, SECOND

EVALUATION_INTERVAL = 1 * SECOND  # ns
EVALUATIONS_KEPT = 40  # whose maximum estimates what the fleet can serve
UNQUEUED_EVALUATIONS = 5  # evaluations without a queue until the offered rate counts as served
WAIT_HIGH = 0.38  # of the latency objective; above it requests are shed
WAIT_LOW = 0.2  # of the latency objective; below it more requests are admitted
EVALUATIONS_UNTIL_LIMITS_KNOWN = 10  # evaluations after the start
ADMITTED_MIN = 0.3  # of the usual requests
ADMITTED_MIN_AFTER_START = 0.6  # of the usual requests, until the limits are known
CUT_MIN = 0.45  # of the sustainable rate: the deepest cut
CUT_AT_WAIT_HIGH = 0.75  # of the sustainable rate at a wait of WAIT_HIGH; a longer wait cuts deeper
TARGET_AFTER_QUEUE = 0.95  # of the sustainable rate, once the queue has drained
TARGET_AFTER_RELAPSE = 0.9  # of the previous target, if a queue forms at that rate
GROWTH = 1.015  # factor on the target per evaluation
GROWTH_OF_ESTIMATE = 1.1  # factor on the target per evaluation, while it is not based on measured capacity
LOST_CAPACITY = 0.85  # of the highest recent capacity; below it the fleet has shrunk
SHRUNK_LIMIT = 1.3  # times the highest served rate, for a fleet that has shrunk
# mean busy share of the remaining backends; below it nothing is shed before a queue forms
BUSY_AFTER_LOSS = 0.7
SHED_MAX = 0.97  # of a kind's requests
LEVEL_CHANGE_MIN = 0.08  # relative; smaller changes of a level are not worth their channel lines
PROXY_RATE_MIN = 0.01  # requests a second at a proxy, where levels are rates
FAILED_SHARE_MAX = 0.3  # of all attempts; above it retries aggravate the fault
ADMITTED_WHILE_FAILING = 0.4  # of the offered requests, while many attempts fail and some backends are cold


@dataclass(frozen=True)
class Demand:
    """Requests offered to the joined proxies at one evaluation."""

    offered: float  # requests a second now
    usual: float  # requests a second, usual rate of these proxies
    unit: float  # capacity units (see the module docstring)
    unit_max: float  # maximum of the recent evaluations: reports lag behind departing proxies


@dataclass(frozen=True)
class Limits:
    """Maxima over the recent evaluations."""

    served: float  # answered requests a second per unit
    capacity: float  # average backends
    unqueued: float  # requests a second per unit, offered while no requests queued


class LoadShedding:
    """Sets admission levels once a second, and the retry mode in each control cycle.

    Args:
        context: `Context` of the controller.
    """

    def __init__(self, context):
        self.context = context
        deployment = context.deployment
        # the share of failed attempts is unknown before the first reports
        self._retries_at = context.now + context.client_timeout + deployment.report_interval
        self._next_evaluation_at = 0
        self._next_cut_at = 0
        self._target = None  # requests a second per unit; None: all requests are admitted
        self._sustainable = 0.0  # requests a second per unit, estimated for a fleet at full load
        self._unit_at_cut = 1.0
        self._growth = GROWTH
        self._evaluations = deque(maxlen=EVALUATIONS_KEPT)
        self._unqueued_evaluations = deque(maxlen=UNQUEUED_EVALUATIONS)

    def update(self, state):
        """Updates `Context.admission`.

        Args:
            state: `FleetState` of this control cycle.
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
        """Returns the current `Demand`, and records the rate offered while nothing queued or was rejected.

        The latter is kept in the measure of `offered`, with which `_excess` compares it: the last report of a
        proxy stands until its next one, so many proxies with few requests are counted too high.
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
        """Cuts the target, raises it, or ends the overload."""
        now = self.context.now
        objective = self.context.latency_objective
        if self._target is not None and now < self._next_cut_at:
            # a rate that was served at full load is sustainable
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
        # a cut shows once waiting clients have timed out and the next reports have arrived
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
            self.context.orders.append(
                Log(f"overload ended: all of {demand.offered:.0f} requests/s admitted")
            )

    def _excess(self, state, demand, limits):
        """Returns the requests a second to be shed.

        Without a target, requests are shed before a queue forms only if the fleet has lost capacity that the
        remaining backends cannot replace. Only then does the highest served rate tell what can be served.
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
        """Sheds `excess` requests a second, from the kinds with the lowest priority weight first."""
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
        """Returns the level that admits all but `shed` requests a second of `rates`."""
        admitted_rate = sum(rates) - shed
        if self.context.deployment.throttle == "rate":
            return equal_limit(rates, admitted_rate, self.context.unlimited_level)
        return admitted_rate / sum(rates)


def equal_limit(rates, admitted, unlimited_level):
    """Returns the per-proxy limit, equal for all proxies, that admits a total rate.

    Args:
        rates: requests a second offered to each proxy.
        admitted: total requests a second to be admitted.
        unlimited_level: level that stands for no limit.

    Returns:
        Requests a second at each proxy.
    """
    for proxies, rate in zip(range(len(rates), 0, -1), sorted(rates), strict=True):
        if rate * proxies >= admitted:
            return max(admitted / proxies, PROXY_RATE_MIN)
        admitted -= rate
    return unlimited_level

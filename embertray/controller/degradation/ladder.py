"""The degradation ladder: decides the degradation level, without I/O.

A level is entered when the lost share of credit (loss_meter.py) has been above its threshold for several
evaluations, and left when it has been below a lower threshold for a whole calm period. With this hysteresis a
load that oscillates around a threshold changes the level only once. The lost share covers the credit of all
request kinds together; no kind is treated by its name.
"""

from typing import NamedTuple

from .exceptions import NormalLevelError
from .levels import LEVEL_NAMES, LEVELS, level_index
from .loss_meter import LossMeter

NS_PER_SECOND = 10**9
NS_PER_MS = 10**6
EVALUATION_PERIOD_NS = 1 * NS_PER_SECOND
ENTER_EVALUATIONS = 3  # consecutive ones before a level is entered: one late report is no overload
# Time below the threshold before a level is left, and least time between two changes except to the highest
# level: at most one change a minute at a load that oscillates around a threshold or between two.
CALM_PERIOD_NS = 60 * NS_PER_SECOND
HIGHEST_LEVEL = len(LEVELS) - 1


class LevelChange(NamedTuple):
    """A change of the degradation level.

    Attributes:
        old: Name of the previous level.
        new: Name of the new level.
        reason: The reason in words.
    """

    old: str
    new: str
    reason: str


class DegradationLadder:
    """Decides the degradation level of one controller. Call `evaluate_if_due` at least every second.

    Args:
        kinds: The RequestKinds.
        report_interval: The proxies' report cycle, ns.
        levels_are_rates: Whether admission levels are requests a second; otherwise they are shares of the
            arrivals.
        now: ns.

    Attributes:
        loss_meter: The LossMeter, which receives the load reports.
        level: Index of the current level in LEVELS.
        changes: Number of changes of the level.
        lost_share: Lost share of credit at the last evaluation, 0 to 1; None: unknown.
        pinned: Index of the level that an operator has pinned, or None.
        forbidden: Indices of the levels that an operator has forbidden.
    """

    def __init__(self, kinds, report_interval, levels_are_rates, now):
        self.loss_meter = LossMeter(kinds, report_interval, levels_are_rates)
        self.level = 0
        self.changes = 0
        self.lost_share = None
        self.pinned = None
        self.forbidden = set()
        self._changed_at = now  # ns
        self._calm_since = now  # ns
        self._evaluations_above = [0] * len(LEVELS)  # consecutive ones above each level's threshold
        self._evaluate_at = now + EVALUATION_PERIOD_NS  # ns

    # ---- operators

    def pin(self, name):
        """Pins the level until `release` is called.

        Raises:
            UnknownLevelError: There is no level of that name.
        """
        self.pinned = level_index(name)

    def release(self):
        """Ends a pin."""
        self.pinned = None

    def forbid(self, name, forbidden=True):
        """Forbids a level or allows it again; the next milder allowed level replaces a forbidden one.

        Args:
            name: The level's name.
            forbidden: False allows the level again.

        Raises:
            UnknownLevelError: There is no level of that name.
            NormalLevelError: It is the normal level.
        """
        index = level_index(name)
        if not index:
            raise NormalLevelError("normal can't be forbidden")
        if forbidden:
            self.forbidden.add(index)
        else:
            self.forbidden.discard(index)

    def status(self, now):
        """Returns the ladder's state at `now` (ns) as a JSON object, for operators."""
        return {
            "level": self.name,
            "for_s": round((now - self._changed_at) / NS_PER_SECOND, 1),
            "lost_credit": self.lost_share,
            "gives_up": list(LEVELS[self.level].disabled_features),
            "wait_ms": self.retry_after // NS_PER_MS,
            "changes": self.changes,
            "pinned": None if self.pinned is None else LEVEL_NAMES[self.pinned],
            "forbidden": [LEVEL_NAMES[index] for index in sorted(self.forbidden)],
            "first_demand": {
                kind.external_id: None if demand.rate is None else round(demand.rate, 1)
                for kind, demand in self.loss_meter.demand.items()
            },
        }

    # ---- evaluation

    def evaluate_if_due(self, now):
        """Evaluates the loss, at most once in EVALUATION_PERIOD_NS.

        Args:
            now: ns.

        Returns:
            A LevelChange; None: the level is unchanged.
        """
        if now < self._evaluate_at:
            return None
        self._evaluate_at = now + EVALUATION_PERIOD_NS
        self.lost_share = self.loss_meter.lost_share(now)
        if self.pinned is not None:
            return self._change(now, self.pinned, "pinned by an operator")
        if self.lost_share is None:  # without a load report the level stays and the calm period restarts
            self._calm_since = now
            return None
        return self._evaluate(now)

    def _evaluate(self, now):
        target = self._level_to_enter()
        if target > self.level and self._may_raise(now, target):
            return self._change(now, target, f"{self.lost_share:.0%} of the credit is lost")
        if self.lost_share >= LEVELS[self.level].leave_below:
            self._calm_since = now
        elif self.level and now - self._calm_since >= CALM_PERIOD_NS:
            reason = f"{self.lost_share:.0%} of the credit is lost, for {CALM_PERIOD_NS // NS_PER_SECOND} s"
            return self._change(now, self._level_after_calm(), reason)
        if self.level in self.forbidden:
            return self._change(now, self.level, "forbidden by an operator")
        return None

    def _level_to_enter(self):
        """Counts this evaluation and returns the highest level that may be entered; 0: none.

        A level may be entered after its threshold was exceeded in ENTER_EVALUATIONS consecutive evaluations.
        """
        target = 0
        for index in range(1, len(LEVELS)):
            above = self.lost_share > LEVELS[index].enter_above
            self._evaluations_above[index] = self._evaluations_above[index] + 1 if above else 0
            if self._evaluations_above[index] >= ENTER_EVALUATIONS:
                target = index
        return target

    def _may_raise(self, now, target):
        return not self.changes or now - self._changed_at >= CALM_PERIOD_NS or target == HIGHEST_LEVEL

    def _level_after_calm(self):
        """Returns the highest milder level that the current loss would not leave; 0: none."""
        milder = range(1, self.level)
        return max((index for index in milder if self.lost_share >= LEVELS[index].leave_below), default=0)

    def _change(self, now, index, reason):
        """Changes to a level, or to the next milder allowed one; returns the LevelChange, or None."""
        while self.pinned is None and index in self.forbidden:
            index -= 1
        if index == self.level:
            return None
        change = LevelChange(LEVEL_NAMES[self.level], LEVEL_NAMES[index], reason)
        self.level = index
        self.changes += 1
        self._changed_at = now
        self._calm_since = now
        return change

    # ---- properties of the current level

    @property
    def name(self):
        """Name of the current level."""
        return LEVEL_NAMES[self.level]

    @property
    def retry_after(self):
        """How long a rejected client is asked to wait before it retries, ns."""
        return LEVELS[self.level].retry_after

    @property
    def retry_limit(self):
        """Most retries of a request kind that is partly rejected, as the protocol encodes them."""
        return LEVELS[self.level].retry_limit

    def disables(self, feature):
        """Returns whether the current level disables a feature: PROBES or RETRIES (levels.py)."""
        return feature in LEVELS[self.level].disabled_features

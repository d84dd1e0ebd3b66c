"""By when a write has to be in force, for the verdict on a control plane of true processes."""

from dataclasses import dataclass

SECOND_NS = 10**9
DELAY_SLACK_NS = 1 * SECOND_NS  # ns that a look, or a process on a busy machine, may be late


@dataclass(frozen=True)
class TimeLimits:
    """Within how many ns a write has to be in force at a subscriber that is within reach.

    `in_force`: counted from the write's acknowledgement or the end of the last fault, whichever is later;
    `prompt`: the same long after the last fault, when all links are good.
    """

    in_force: int
    prompt: int


def limits_by_bounds(bounds):
    """The TimeLimits that a Bounds states, for processes that this busy machine may run late."""
    return TimeLimits(in_force=bounds.any_fault + DELAY_SLACK_NS, prompt=bounds.good + DELAY_SLACK_NS)


def limits_by_objective(objective):
    """The TimeLimits of an objective that holds everywhere, ns: a late process is no excuse."""
    return TimeLimits(in_force=objective, prompt=objective)

"""Time limits by which a write has to be in force on a control plane of processes."""

from dataclasses import dataclass

SECOND_NS = 10**9
DELAY_SLACK_NS = 1 * SECOND_NS  # allowance for the delays of sampling and of a busy machine


@dataclass(frozen=True)
class TimeLimits:
    """Limits in ns for a write to be in force at a subscriber that is within reach.

    Attributes:
        in_force: from the write's acknowledgement or the end of the last fault, whichever is later.
        prompt: the same, long after the last fault, while all links are good.
    """

    in_force: int
    prompt: int


def limits_by_bounds(bounds):
    """Returns the TimeLimits of a Bounds, plus an allowance for a busy machine."""
    return TimeLimits(in_force=bounds.any_fault + DELAY_SLACK_NS, prompt=bounds.good + DELAY_SLACK_NS)


def limits_by_objective(objective):
    """Returns the TimeLimits of an objective in ns; it allows no delay of the machine."""
    return TimeLimits(in_force=objective, prompt=objective)

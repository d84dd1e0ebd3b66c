"""The degradation levels: when each is entered and left, and what it disables.

No level breaks a rule of the proxies' tables, since a level only omits optional work.
"""

from typing import NamedTuple

from .exceptions import UnknownLevelError

NS_PER_SECOND = 10**9
UNLIMITED_RETRIES = 3  # the protocol's value for no limit
NO_RETRIES = 0
PROBES = "probes"  # the controller's own health checks
RETRIES = "tries"  # retries by the proxies; the word is part of the /level page


class DegradationLevel(NamedTuple):
    """One level of reduced service.

    Attributes:
        name: Its name for operators.
        enter_above: Lost share of credit, 0 to 1, above which the level is entered.
        leave_below: Lost share of credit below which the level is left: well below enter_above, since the
            policy itself oscillates by a tenth around an objective.
        retry_after: How long a rejected client is asked to wait, ns; at most a few client timeouts.
        retry_limit: Most retries of a request kind that is partly rejected, as the protocol encodes them.
        disabled_features: PROBES and RETRIES, as far as the level disables them.
    """

    name: str
    enter_above: float
    leave_below: float
    retry_after: int
    retry_limit: int
    disabled_features: tuple[str, ...]


NORMAL = DegradationLevel("normal", 0.0, 0.0, 0, UNLIMITED_RETRIES, ())
BROWNOUT = DegradationLevel("brownout", 0.05, 0.025, 1 * NS_PER_SECOND, UNLIMITED_RETRIES, (PROBES,))
ESSENTIAL = DegradationLevel("essential", 0.25, 0.15, 2 * NS_PER_SECOND, NO_RETRIES, (PROBES, RETRIES))
SURVIVAL = DegradationLevel("survival", 0.55, 0.40, 4 * NS_PER_SECOND, NO_RETRIES, (PROBES, RETRIES))

LEVELS = (NORMAL, BROWNOUT, ESSENTIAL, SURVIVAL)  # mildest first
LEVEL_NAMES = tuple(level.name for level in LEVELS)


def level_index(name):
    """Returns the index in LEVELS of the level with a name.

    Args:
        name: The name as an operator entered it.

    Raises:
        UnknownLevelError: There is no such level.
    """
    if name not in LEVEL_NAMES:
        raise UnknownLevelError(f"no level '{name}'; there are {', '.join(LEVEL_NAMES)}")
    return LEVEL_NAMES.index(name)

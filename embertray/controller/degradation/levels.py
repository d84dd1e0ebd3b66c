"""The degradation levels: when each is entered and left, and what it gives up.

What a level gives up breaks no rule of the proxies' tables: a level only ever does less.
"""

from typing import NamedTuple

from .exceptions import UnknownLevelError

NS_PER_SECOND = 10**9
UNLIMITED_RETRIES = 3  # the protocol's mark for any number of further attempts
NO_RETRIES = 0
PROBES = "probes"  # health checks of the controller's own
RETRIES = "tries"  # further attempts by the proxies; operators read this word in /level


class DegradationLevel(NamedTuple):
    """One level of reduced service.

    Attributes:
        name: Its name for operators.
        enter_above: Lost share of credit, 0 to 1, above which it is entered.
        leave_below: Lost share below which it is left: well under the mark to enter, since the policy's own
            swing around an objective is a tenth.
        retry_after: How long a rejected client is asked to stay away, ns; some clients' timeouts at most.
        retry_limit: Most further attempts of a request kind that is partly rejected.
        disabled_features: What is not done at this level.
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
    """Finds a level by its name.

    Args:
        name: What an operator wrote.

    Returns:
        Its index in LEVELS.

    Raises:
        UnknownLevelError: There is no such level.
    """
    if name not in LEVEL_NAMES:
        raise UnknownLevelError(f"no level '{name}'; there are {', '.join(LEVEL_NAMES)}")
    return LEVEL_NAMES.index(name)

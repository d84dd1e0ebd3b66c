"""Backoff between connections to the inventory, which is one service for all controllers."""

BACKOFF_FIRST_NS = 10**9 // 2  # ns before the second attempt, at most
BACKOFF_MAX_NS = 8 * 10**9  # ns between two attempts, at most
BACKOFF_FIXED_SHARE = 0.2  # of each delay; the rest is random, so that controllers do not call in step
DOUBLINGS_MAX = 8  # past the longest delay already: keeps the shift small after a long outage


def backoff_delay(failures, random):
    """Doubles with each failure up to a limit, most of it at random.

    Args:
        failures: Consecutive failures, 1 or more.
        random: A number from 0 to 1.

    Returns:
        The delay before the next attempt, ns.
    """
    longest = min(BACKOFF_MAX_NS, BACKOFF_FIRST_NS << min(failures - 1, DOUBLINGS_MAX))
    return int(longest * (BACKOFF_FIXED_SHARE + (1 - BACKOFF_FIXED_SHARE) * random))

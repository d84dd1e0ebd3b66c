"""Backoff between connections to the inventory, which all controllers share."""

BACKOFF_FIRST_NS = 10**9 // 2  # upper bound before the second attempt
BACKOFF_MAX_NS = 8 * 10**9  # upper bound between two attempts
BACKOFF_FIXED_SHARE = 0.2  # of each delay; the rest is random, so that controllers do not connect together
DOUBLINGS_MAX = 8  # beyond BACKOFF_MAX_NS; keeps the shift small after a long outage


def backoff_delay(failures, random):
    """Returns an exponential backoff with jitter.

    Args:
        failures: Consecutive failures, 1 or more.
        random: A random number from 0 to 1.

    Returns:
        The delay before the next attempt, ns.
    """
    longest = min(BACKOFF_MAX_NS, BACKOFF_FIRST_NS << min(failures - 1, DOUBLINGS_MAX))
    return int(longest * (BACKOFF_FIXED_SHARE + (1 - BACKOFF_FIXED_SHARE) * random))

"""Notices when this process itself stood still, so that others are not blamed for being late.

After a stall (a stopped process, a blocked loop) the answers of proxies wait unread in our own sockets, and
every timeout looks exceeded. Without this guard a resumed controller would cut all its streams at once. It
holds because the process looks at the clock far more often than STALL_GAP_NS while it runs.
"""

NS_PER_SECOND = 10**9
STALL_GAP_NS = 1 * NS_PER_SECOND  # between two checks: a longer one means that the process stood still
STALL_GRACE_NS = 2 * NS_PER_SECOND  # after a stall, in which nobody is blamed


class StallWatch:
    """Whether this process has run without a gap for long enough to blame others for being late.

    Args:
        now: ns.
    """

    def __init__(self, now):
        self._checked_at = now
        self._steady_since = now

    def is_steady(self, now):
        """Checks the clock; to be called at each step.

        Args:
            now: ns.

        Returns:
            Whether the process has run without a gap for STALL_GRACE_NS.
        """
        if now - self._checked_at > STALL_GAP_NS:
            self._steady_since = now
        self._checked_at = now
        return now - self._steady_since >= STALL_GRACE_NS

"""Detects stalls of this process, so that peers are not cut for timeouts that it caused itself.

After a stall (a stopped process, a blocked event loop) the proxies' acknowledgements wait unread in its
sockets, and every timeout looks exceeded: without this check a resumed controller would cut all its streams
at once. While it runs, the process checks the clock far more often than once in STALL_GAP_NS.
"""

NS_PER_SECOND = 10**9
STALL_GAP_NS = 1 * NS_PER_SECOND  # a longer gap between two checks is a stall
STALL_GRACE_NS = 2 * NS_PER_SECOND  # time after a stall during which no peer is cut for a timeout


class StallWatch:
    """Tells whether this process has run without a stall for long enough to apply timeouts to peers.

    Args:
        now: ns.
    """

    def __init__(self, now):
        self._checked_at = now
        self._steady_since = now

    def check_steady(self, now):
        """Checks the clock; must be called at every step, since a gap between two calls counts as a stall.

        Args:
            now: ns.

        Returns:
            Whether the process has run without a stall for STALL_GRACE_NS.
        """
        if now - self._checked_at > STALL_GAP_NS:
            self._steady_since = now
        self._checked_at = now
        return now - self._steady_since >= STALL_GRACE_NS

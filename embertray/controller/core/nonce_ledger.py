"""Tracks the nonces that proxies have not acknowledged yet, without I/O."""

from collections import deque
from typing import NamedTuple

from embertray.controller.channel.timeouts import NONCE_TIMEOUT_NS
from embertray.policy import interface as i


class Acknowledged(NamedTuple):
    """A nonce that a proxy has acknowledged.

    Attributes:
        nonce: The policy's nonce.
        elapsed: Time from the order to the acknowledgement, ns.
    """

    nonce: i.Nonce
    elapsed: int


class NonceLedger:
    """The unacknowledged nonces of one controller.

    Args:
        identifiers: The Identifiers, whose `nonces` are deleted once no acknowledgement is outstanding.

    Attributes:
        by_proxy: Proxy's name -> deque of ids of the nonces that it has not acknowledged, the oldest first.
        sent_at: Id of a nonce -> when it was ordered, ns.
        outstanding: Id of a nonce -> number of proxies that have not acknowledged it.
    """

    def __init__(self, identifiers):
        self.by_proxy = {}
        self.sent_at = {}
        self.outstanding = {}
        self._identifiers = identifiers

    def proxy_joined(self, name):
        """Adds a proxy, without unacknowledged nonces."""
        self.by_proxy[name] = deque()

    def proxy_left(self, name):
        """Removes a proxy and its unacknowledged nonces."""
        for nonce_id in self.by_proxy.pop(name, ()):
            self._release(nonce_id)

    def record_sent(self, now, name, nonce_id):
        """Records that a nonce was sent to a proxy at `now` (ns)."""
        self.sent_at[nonce_id] = now
        self.outstanding[nonce_id] = self.outstanding.get(nonce_id, 0) + 1
        self.by_proxy[name].append(nonce_id)

    def acknowledge(self, now, name, nonce_id):
        """Records a proxy's acknowledgement of a nonce, which covers all earlier nonces.

        Args:
            now: ns.
            name: The proxy's name.
            nonce_id: The nonce's id on the wire.

        Returns:
            Acknowledged, or None if the nonce is not outstanding at this proxy.
        """
        open_nonces = self.by_proxy.get(name, ())
        nonce = self._identifiers.nonces.get(nonce_id)
        if nonce is None or nonce_id not in open_nonces:
            return None
        acknowledged = Acknowledged(nonce, now - self.sent_at[nonce_id])
        while open_nonces:
            oldest = open_nonces.popleft()
            self._release(oldest)
            if oldest == nonce_id:
                break
        return acknowledged

    def overdue_proxies(self, now):
        """Returns the names of proxies whose oldest nonce is older than NONCE_TIMEOUT_NS at `now` (ns)."""
        return [
            name
            for name, open_nonces in self.by_proxy.items()
            if open_nonces and now - self.sent_at[open_nonces[0]] > NONCE_TIMEOUT_NS
        ]

    def _release(self, nonce_id):
        """Removes one outstanding acknowledgement of a nonce, and the nonce with its last one."""
        self.outstanding[nonce_id] -= 1
        if not self.outstanding[nonce_id]:
            del self.outstanding[nonce_id]
            del self.sent_at[nonce_id]
            del self._identifiers.nonces[nonce_id]

"""Verifies the candidates of an old list: waits for load reports before the undecided ones are forwarded.

A proven candidate is forwarded with its entry unchanged; a refuted one is not forwarded. An undecided one is
forwarded as if it had just started: a replacement may run under its name and still be warming up, so the
policy's slow start should apply. Forwarding all candidates that way from the start costs more than it saves,
since the policy then admits less load to them (docs/design/start.md).
"""

from embertray.controller.endpoint_list.messages import EndpointEntry

VERIFICATION_PERIOD_NS = 3 * 10**9  # two report cycles and the transmission of their reports


class Verification:
    """The period in which candidates are proven or refuted.

    Attributes:
        started_at: When the controller started, ns.
        inventory_clock: The inventory's clock at that time, ns, derived from the snapshot.
        finished: Whether the undecided candidates have been forwarded.
    """

    def __init__(self):
        self.started_at = 0
        self.inventory_clock = 0
        self.finished = False

    def is_waiting(self, backends):
        """Returns whether undecided candidates are still to be forwarded.

        Args:
            backends: Name -> KnownBackend.
        """
        return not self.finished and any(backend.undecided for backend in backends.values())

    def is_due(self, now, backends):
        """Returns whether to call `forward_undecided` at `now` (ns); `backends` is name -> KnownBackend."""
        return self.is_waiting(backends) and now >= self.next_timer()

    def next_timer(self):
        """Returns when the undecided candidates are forwarded, ns."""
        return self.started_at + VERIFICATION_PERIOD_NS

    def forward_undecided(self, now, backends):
        """Forwards the undecided candidates.

        Args:
            now: ns.
            backends: Name -> KnownBackend.

        Returns:
            Their EndpointEntry items, as if the backends had just started.
        """
        self.finished = True
        undecided = [backend for backend in backends.values() if backend.undecided]
        for backend in undecided:
            backend.forwarded = True
        inventory_clock = self.inventory_clock + now - self.started_at
        return [with_start_time(backend.entry, inventory_clock) for backend in undecided]


def with_start_time(entry, inventory_clock):
    """Returns a copy of an EndpointEntry whose start is not earlier than `inventory_clock` (ns)."""
    started = max(inventory_clock, entry.started)
    return EndpointEntry(entry.backend, entry.zone, entry.state, started, entry.nominal)

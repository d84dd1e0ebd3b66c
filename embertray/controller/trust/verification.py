"""Verifies the candidates of an old list: load reports are waited for before the rest is handed on.

A proven candidate is handed on as it was, a refuted one is not. The rest, about which nothing was heard, is
handed on as started just now: under the same name a replacement may run that is warming up, so the policy's
slow start holds for it. Handing on all candidates that way from the first moment was measured: the policy
then admits less among them, which costs more than it saves (docs/design/start.md).
"""

from embertray.controller.endpoint_list.messages import EndpointEntry

VERIFICATION_PERIOD_NS = 3 * 10**9  # two report cycles and their way


class Verification:
    """The time in which candidates are proven or refuted.

    Attributes:
        started_at: When the controller started, ns.
        inventory_clock: The inventory's clock at that time, ns, as far as the snapshot tells.
        finished: The rest has been handed on.
    """

    def __init__(self):
        self.started_at = 0
        self.inventory_clock = 0
        self.finished = False

    def is_waiting(self, backends):
        """Whether a candidate is not decided yet; `backends` is name -> KnownBackend."""
        return not self.finished and any(backend.undecided for backend in backends.values())

    def is_due(self, now, backends):
        """Whether `forward_undecided` is to be called at `now` (ns); `backends` is name -> KnownBackend."""
        return self.is_waiting(backends) and now >= self.next_timer()

    def next_timer(self):
        """When the rest is to be handed on, ns."""
        return self.started_at + VERIFICATION_PERIOD_NS

    def forward_undecided(self, now, backends):
        """Hands on the candidates about which nothing was heard.

        Args:
            now: ns.
            backends: Name -> KnownBackend.

        Returns:
            Their EndpointEntry items, as started just now.
        """
        self.finished = True
        undecided = [backend for backend in backends.values() if backend.undecided]
        for backend in undecided:
            backend.forwarded = True
        inventory_clock = self.inventory_clock + now - self.started_at
        return [started_at(backend.entry, inventory_clock) for backend in undecided]


def started_at(entry, inventory_clock):
    """Returns an EndpointEntry as if it had started at that time at the earliest (ns)."""
    started = max(inventory_clock, entry.started)
    return EndpointEntry(entry.backend, entry.zone, entry.state, started, entry.nominal)

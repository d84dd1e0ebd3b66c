"""Merges the answers of discovery into what is known.

What discovery lists counts, unless it is older than what is known: a lagging replica's list (an older epoch)
brings no backend back that was removed since, and removes none that is known from a newer list. A complete
list that suddenly lacks most of the answering backends is confirmed first. What is listed as draining or gone
in so many words is believed at once.
"""

from embertray.controller.endpoint_list import UpdateKind

from .decision import TrustDecision
from .loss_confirmation import is_answering


class DiscoveryMerge:
    """The rules for answers of discovery.

    Args:
        catalog: The BackendCatalog that the answers go to.
        losses: The LossConfirmation.

    Attributes:
        epoch: The newest version of the list so far.
        answered: Discovery has answered since the start.
    """

    def __init__(self, catalog, losses):
        self.epoch = 0
        self.answered = False
        self._catalog = catalog
        self._losses = losses

    def receive(self, now, kind, epoch, entries):
        """Judges one answer of discovery.

        Args:
            now: ns.
            kind: UpdateKind.CHANGES, COMPLETE or FAILED.
            epoch: Version of the list.
            entries: EndpointEntry items.

        Returns:
            The TrustDecision.
        """
        if kind == UpdateKind.FAILED:
            return TrustDecision(UpdateKind.FAILED, [])
        self._catalog.tombstones.expire(now)
        outdated = epoch < self.epoch
        self.epoch = max(self.epoch, epoch)
        self.answered = True
        if kind == UpdateKind.CHANGES:
            return TrustDecision(UpdateKind.CHANGES, self._accept(now, entries, outdated))
        if outdated:
            return self._merge_outdated(now, entries)
        return self._merge_complete(now, entries)

    def _merge_outdated(self, now, entries):
        """A lagging replica's list removes only what is known to be refuted."""
        missing = self._catalog.missing_from(entries)
        accepted = self._accept(now, entries, outdated=True)
        refuted = [name for name in missing if self._catalog.backends[name].refuted]
        return TrustDecision(UpdateKind.CHANGES, accepted + self._catalog.remove(now, refuted))

    def _merge_complete(self, now, entries):
        missing = self._catalog.missing_from(entries)
        absent = set(missing)
        answering = [name for name, backend in self._catalog.backends.items() if is_answering(backend, now)]
        lost = [name for name in answering if name in absent]
        request_complete = self._losses.evaluate(now, lost, len(answering))
        accepted = self._accept(now, entries, outdated=False)
        if request_complete:
            removed = self._catalog.remove(now, [name for name in missing if name not in lost])
            return TrustDecision(UpdateKind.CHANGES, accepted + removed, request_complete=True)
        self._catalog.remove(now, missing)
        return TrustDecision(UpdateKind.COMPLETE, accepted)

    def _accept(self, now, entries, outdated):
        accepted = self._catalog.accept(now, entries, outdated)
        self._losses.record_listed({entry.backend for entry in accepted if entry.state != "gone"})
        return accepted

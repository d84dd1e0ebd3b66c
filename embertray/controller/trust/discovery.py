"""Merges the responses of discovery into the catalog.

Discovery's list applies unless it is outdated: the list of a lagging replica (an older epoch) neither
restores a backend that was removed since nor removes one that is known from a newer list. A complete list
that suddenly lacks most of the answering backends has to be confirmed first. An explicit entry in state
draining or gone applies at once.
"""

from embertray.controller.endpoint_list import UpdateKind

from .decision import TrustDecision
from .loss_confirmation import is_answering


class DiscoveryMerge:
    """The rules for responses of discovery.

    Args:
        catalog: The BackendCatalog that is updated.
        losses: The LossConfirmation.

    Attributes:
        epoch: The newest version of the list so far.
        answered: Whether discovery has answered since the start.
    """

    def __init__(self, catalog, losses):
        self.epoch = 0
        self.answered = False
        self._catalog = catalog
        self._losses = losses

    def receive(self, now, kind, epoch, entries):
        """Processes a response of discovery.

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
        """Merges the list of a lagging replica, which removes only refuted backends."""
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

"""The backends that are known from the endpoint list, and those that were recently removed from it."""

from .known_backend import KnownBackend
from .tombstones import Tombstones


class BackendCatalog:
    """The known backends, from discovery or from the list on disk.

    Attributes:
        backends: Name -> KnownBackend.
        tombstones: The Tombstones of the removed backends.
    """

    def __init__(self):
        self.backends = {}
        self.tombstones = Tombstones()

    def missing_from(self, entries):
        """Returns the names of known backends that are not among the EndpointEntry items."""
        listed = {entry.backend for entry in entries}
        return [name for name in self.backends if name not in listed]

    def accept(self, now, entries, outdated):
        """Applies entries; those of an outdated list only if nothing newer is known of their backends.

        Args:
            now: ns.
            entries: EndpointEntry items.
            outdated: Whether their list is older than the newest so far.

        Returns:
            The applied entries.
        """
        accepted = []
        for entry in entries:
            if outdated and self._is_superseded(entry):
                continue
            accepted.append(entry)
            if entry.state == "gone":
                self._forget(now, entry.backend)
            else:
                self._store(entry)
        return accepted

    def remove(self, now, names):
        """Removes known backends.

        Args:
            now: ns.
            names: Their names.

        Returns:
            An EndpointEntry in state "gone" for each of them.
        """
        removals = [self.backends[name].removal() for name in names]
        for name in names:
            self._forget(now, name)
        return removals

    def shed_memory(self):
        """Drops the older tombstones and copies the dicts, which keep their largest size until then."""
        self.tombstones.shed_memory()
        self.backends = dict(self.backends)

    def _is_superseded(self, entry):
        """Returns whether an entry of an outdated list contradicts what is known from a newer one."""
        known = self.backends.get(entry.backend)
        if entry.state == "gone":
            return known is not None and known.entry.started > entry.started
        if self.tombstones.covers(entry):
            return True
        if known is None:
            return False
        is_draining = known.entry.state == "draining" and known.entry.started == entry.started
        return known.entry.started > entry.started or is_draining

    def _store(self, entry):
        previous = self.backends.get(entry.backend)
        backend = KnownBackend(entry)
        if previous:
            backend.copy_evidence_from(previous)
        self.backends[entry.backend] = backend
        self.tombstones.discard(entry.backend)

    def _forget(self, now, name):
        backend = self.backends.pop(name, None)
        self.tombstones.add(name, backend.entry.started if backend else 0, now)

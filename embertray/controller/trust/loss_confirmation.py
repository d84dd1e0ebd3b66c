"""Confirms sudden losses: a complete list that lacks most of the answering backends does not apply at once.

A faulty inventory may list only a fraction of the fleet. Removing the missing backends at once would take
away most of the proxies' capacity while these backends still serve. So the list is requested again, and a
second response that lacks them is accepted. Without one they are removed after a timeout, early enough for
the proxies to be updated within the drain grace.
"""

SUSPICIOUS_LOSS_SHARE = 0.5  # of the answering backends; a complete list that lacks more has to be confirmed
ANSWERING_AGE_NS = 15 * 10**9  # a backend with a success this recent is answering; several report cycles
# Share of the drain grace in which the second response may arrive; the rest is for updating the proxies.
CONFIRMATION_SHARE = 0.35


def is_answering(backend, now):
    """Returns whether a KnownBackend has answered recently, at `now` (ns)."""
    return bool(backend.answered_at) and now - backend.answered_at < ANSWERING_AGE_NS


class LossConfirmation:
    """The backends that the last complete list lacks and whose removal is not confirmed yet.

    Args:
        drain_grace: The site's drain grace, ns.
        omission_removes: Whether a backend that a complete list lacks counts as removed. Otherwise it stays
            for as long as it answers.

    Attributes:
        missing: Names of these backends, a tuple.
    """

    def __init__(self, drain_grace, omission_removes):
        self.missing = ()
        self._omission_removes = omission_removes
        self._timeout = CONFIRMATION_SHARE * drain_grace  # ns
        self._missing_since = 0  # ns

    def evaluate(self, now, lost, answering_count):
        """Evaluates a complete list that is not outdated.

        Args:
            now: ns.
            lost: Names of the answering backends that the list lacks.
            answering_count: Number of answering backends.

        Returns:
            Whether to request the complete list again before the lost backends are removed.
        """
        suspicious = answering_count > 0 and len(lost) > SUSPICIOUS_LOSS_SHARE * answering_count
        if suspicious and set(lost) - set(self.missing):
            self.missing = tuple(lost)
            self._missing_since = now
            return True
        self.missing = ()  # no suspicious loss, or a second response has confirmed it
        return False

    def record_listed(self, names):
        """Records that backends are listed, so that they are no longer missing; `names` is a set."""
        self.missing = tuple(name for name in self.missing if name not in names)

    def expire(self, now, backends):
        """Ends the wait for a second response if it has timed out.

        Args:
            now: ns.
            backends: Name -> KnownBackend of all known backends.

        Returns:
            Names of the missing backends to remove now.
        """
        if not self.missing or now - self._missing_since < self._timeout:
            return []
        kept = () if self._omission_removes else self._still_answering(now, backends)
        gone = [name for name in self.missing if name not in kept]
        self.missing = kept
        if kept:
            self._missing_since = now
        return [name for name in gone if name in backends]

    def next_timer(self):
        """Returns when to call `expire` next, ns; None: no backend is missing."""
        return self._missing_since + int(self._timeout) if self.missing else None

    def _still_answering(self, now, backends):
        return tuple(
            name
            for name in self.missing
            if name in backends and now - backends[name].answered_at < ANSWERING_AGE_NS
        )

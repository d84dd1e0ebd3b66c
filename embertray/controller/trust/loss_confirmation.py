"""Confirms a sudden loss: a complete list that lacks most of the answering backends is not believed at once.

A broken inventory may list a fraction of the fleet. If the missing were removed at once, proxies would lose
most of their capacity while it is there. So the list is requested again: a second answer that lacks them is
believed. Without one they are removed in time for the proxies to learn it within the drain grace.
"""

SUSPICIOUS_LOSS_SHARE = 0.5  # of the answering backends; a complete list that lacks more is confirmed first
ANSWERING_AGE_NS = 15 * 10**9  # a success this young, ns, counts as answering now: some report cycles
# Share of the drain grace that is waited for the second answer: the rest is for telling the proxies.
CONFIRMATION_SHARE = 0.35


def is_answering(backend, now):
    """Whether a KnownBackend answered lately, at `now` (ns)."""
    return bool(backend.answered_at) and now - backend.answered_at < ANSWERING_AGE_NS


class LossConfirmation:
    """Which backends are missing from the last complete list and not believed gone yet.

    Args:
        drain_grace: The site's drain grace, ns.
        omission_removes: Whether a backend that a complete list lacks counts as removed. Else it stays for as
            long as it answers.

    Attributes:
        missing: Names of the missing backends, a tuple.
    """

    def __init__(self, drain_grace, omission_removes):
        self.missing = ()
        self._omission_removes = omission_removes
        self._timeout = CONFIRMATION_SHARE * drain_grace  # ns
        self._missing_since = 0  # ns

    def evaluate(self, now, lost, answering_count):
        """Judges a complete list that is not older than what is known.

        Args:
            now: ns.
            lost: Names of answering backends that it lacks.
            answering_count: How many backends answer.

        Returns:
            Whether the complete list is to be requested again before the lost are removed.
        """
        suspicious = answering_count > 0 and len(lost) > SUSPICIOUS_LOSS_SHARE * answering_count
        if suspicious and set(lost) - set(self.missing):
            self.missing = tuple(lost)
            self._missing_since = now
            return True
        self.missing = ()  # nothing suspicious, or the second answer that says so
        return False

    def record_listed(self, names):
        """Records that backends are listed; `names` is a set."""
        self.missing = tuple(name for name in self.missing if name not in names)

    def expire(self, now, backends):
        """Gives up waiting for the second answer.

        Args:
            now: ns.
            backends: Name -> KnownBackend of all that are known.

        Returns:
            Names of the missing that are removed now.
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
        """When `expire` is to be asked again, ns; None: nothing is missing."""
        return self._missing_since + int(self._timeout) if self.missing else None

    def _still_answering(self, now, backends):
        return tuple(
            name
            for name in self.missing
            if name in backends and now - backends[name].answered_at < ANSWERING_AGE_NS
        )

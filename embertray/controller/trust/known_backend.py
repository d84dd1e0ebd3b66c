"""A backend as the trust rules know it, with the evidence for or against its existence."""

from embertray.controller.endpoint_list.messages import EndpointEntry

PROVEN_SUCCESSES = 2  # successful attempts after which a candidate is proven
REFUTED_FAILURES = 3  # failed attempts without a success after which a candidate is refuted


class KnownBackend:
    """A listed backend and the evidence about it.

    Args:
        entry: Its EndpointEntry.
        age: Time since the inventory last confirmed it, ns; None: unknown.
        candidate: Whether it comes from an old snapshot and has to be proven.
        confirmed_at: When it was last confirmed, ns since 1970; None: by discovery in this run.

    Attributes:
        successes: Number of successful attempts.
        failures: Number of failed attempts since the last success.
        answered_at: When an attempt last succeeded, ns; 0: never.
        refuted: Whether it is a candidate that only failed.
        forwarded: Whether it was forwarded to the policy.
    """

    __slots__ = (
        "age",
        "answered_at",
        "candidate",
        "confirmed_at",
        "entry",
        "failures",
        "forwarded",
        "refuted",
        "successes",
    )

    def __init__(self, entry, age=0, candidate=False, confirmed_at=None):
        self.entry = entry
        self.age = age
        self.candidate = candidate
        self.confirmed_at = confirmed_at
        self.successes = 0
        self.failures = 0
        self.answered_at = 0
        self.refuted = False
        self.forwarded = not candidate

    @property
    def proven(self):
        """Whether it is a candidate with enough successful attempts."""
        return self.candidate and self.successes >= PROVEN_SUCCESSES

    @property
    def undecided(self):
        """Whether it is a candidate that is neither proven nor refuted yet."""
        return not self.forwarded and not self.refuted

    def removal(self):
        """Returns its EndpointEntry in state "gone"."""
        return EndpointEntry(self.entry.backend, self.entry.zone, "gone")

    def copy_evidence_from(self, former):
        """Copies the evidence that was collected under a `former` entry (a KnownBackend)."""
        self.successes = former.successes
        self.failures = former.failures
        self.answered_at = former.answered_at

    def observe(self, now, attempts, failed, may_refute):
        """Evaluates the attempts in one load report.

        A candidate that answers is forwarded with its entry unchanged; one that only fails is removed until
        it answers or is listed.

        Args:
            now: ns.
            attempts: Finished attempts.
            failed: Failed attempts among them.
            may_refute: Whether failures count against it; they don't once discovery has answered.

        Returns:
            The EndpointEntry to forward as a change, or None.
        """
        succeeded = attempts - failed
        self.successes += succeeded
        if succeeded > 0:
            self.failures = 0
            self.answered_at = now
            return self._prove()
        self.failures += failed
        return self._refute() if may_refute else None

    def _prove(self):
        if self.forwarded or not self.proven:
            return None
        self.refuted = False
        self.forwarded = True
        return self.entry

    def _refute(self):
        if not self.candidate or self.refuted or self.successes or self.failures < REFUTED_FAILURES:
            return None
        self.refuted = True
        if not self.forwarded:
            return None
        self.forwarded = False
        return self.removal()

"""A backend as the trust rules know it, and what proves or refutes that it is there."""

from embertray.controller.endpoint_list.messages import EndpointEntry

PROVEN_SUCCESSES = 2  # attempts that succeeded: a candidate is then proven
REFUTED_FAILURES = 3  # attempts that failed without one success: a candidate is then refuted


class KnownBackend:
    """A listed backend with the evidence about it.

    Args:
        entry: Its EndpointEntry.
        age: Time since the inventory last confirmed it, ns; None: not known.
        candidate: It comes from an old snapshot and is yet to be proven.
        confirmed_at: When it was last confirmed, ns since 1970; None: by the discovery of this run.

    Attributes:
        successes: Attempts that succeeded.
        failures: Attempts that failed since the last success.
        answered_at: When an attempt last succeeded, ns; 0: never.
        refuted: Nothing but failures came from it.
        forwarded: The policy knows it.
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
        """Whether it is a candidate that answered often enough."""
        return self.candidate and self.successes >= PROVEN_SUCCESSES

    @property
    def undecided(self):
        """Whether it is a candidate about which nothing is decided yet."""
        return not self.forwarded and not self.refuted

    def removal(self):
        """Returns the EndpointEntry that says that it is gone."""
        return EndpointEntry(self.entry.backend, self.entry.zone, "gone")

    def copy_evidence_from(self, former):
        """Keeps what was met at the backend while it was known by a `former` entry (a KnownBackend)."""
        self.successes = former.successes
        self.failures = former.failures
        self.answered_at = former.answered_at

    def observe(self, now, attempts, failed, may_refute):
        """Weighs the attempts of one load report.

        A candidate that answers is handed on as it was; one that only fails is taken back until it answers
        or is listed.

        Args:
            now: ns.
            attempts: Attempts that ended.
            failed: How many of them failed.
            may_refute: Whether failures count against it; not once discovery has answered.

        Returns:
            The EndpointEntry to hand on as a change, or None.
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

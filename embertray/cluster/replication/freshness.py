"""Age of a held state: since when it is certain that nothing newer was committed."""

from collections import deque

AGE_UNKNOWN = 2**62  # ns; sent in place of an age by whoever knows none
MAX_OBSERVATIONS = 64  # remembered of revisions that are not held yet


class Freshness:
    """Turns what other processes say of the newest revision into an age by this process's own clock.

    Attributes:
        known_at: ns of our clock; at that time everything committed anywhere was no newer than what is held
            now. None before anything was observed.
    """

    def __init__(self, known_at=None):
        self.known_at = known_at
        self.pending = deque()  # (revision, ns): counts once the revision is held

    def observe_commit(self, after, commit, age, revision):
        """Records a statement of another process about the newest commit.

        The statement may have been delayed on its way. So its age counts from a time of our own clock that
        the sender echoed: the age is never too small, and no two clocks are compared.

        Args:
            after: ns of our clock; the statement was made after it.
            commit: for `age`, the sender knew of nothing newer than this revision.
            age: ns; AGE_UNKNOWN is ignored.
            revision: that we hold.
        """
        if age >= AGE_UNKNOWN:
            return
        known_at = after - age
        if commit <= revision:
            self._raise_known_at(known_at)
            return
        if self.pending and self.pending[-1][0] == commit:
            self.pending[-1] = (commit, max(known_at, self.pending[-1][1]))
        elif len(self.pending) < MAX_OBSERVATIONS:
            self.pending.append((commit, known_at))

    def revision_reached(self, revision):
        """Everything up to `revision` is held now."""
        while self.pending and self.pending[0][0] <= revision:
            self._raise_known_at(self.pending.popleft()[1])

    def age(self, now):
        """Age at `now` in ns, or None while nothing is known."""
        return None if self.known_at is None else max(0, now - self.known_at)

    def advertised_age(self, now):
        """Age as it is sent to others, ns: AGE_UNKNOWN while nothing is known."""
        age = self.age(now)
        return AGE_UNKNOWN if age is None else min(age, AGE_UNKNOWN)

    def _raise_known_at(self, known_at):
        if self.known_at is None or known_at > self.known_at:
            self.known_at = known_at

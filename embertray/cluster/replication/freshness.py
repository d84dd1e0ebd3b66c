"""Age of a replicated state: the time since it was certainly the newest committed one."""

from collections import deque

AGE_UNKNOWN = 2**62  # ns; sent in place of an age that is not known
MAX_OBSERVATIONS = 64  # pending observations of revisions that are not held yet


class Freshness:
    """Converts other processes' statements about the newest commit into an age by the local clock.

    Attributes:
        known_at: ns of the local clock at which nothing newer was committed than what is held now; None if
            nothing was observed yet.
    """

    def __init__(self, known_at=None):
        self.known_at = known_at
        self.pending = deque()  # (revision, ns): applies once the revision is held

    def observe_commit(self, after, commit, age, revision):
        """Records another process's statement about the newest commit.

        The statement may have been delayed in transit. Its age is therefore counted from a stamp of the local
        clock that the sender echoed: the result is never too low, and no clocks are compared.

        Args:
            after: ns of the local clock; the statement was made later than that.
            commit: `age` before the statement, nothing newer than this revision was committed.
            age: ns; AGE_UNKNOWN is ignored.
            revision: the revision held locally.
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
        """Records that everything up to `revision` is held."""
        while self.pending and self.pending[0][0] <= revision:
            self._raise_known_at(self.pending.popleft()[1])

    def age(self, now):
        """Age at `now` in ns, or None while it is unknown."""
        return None if self.known_at is None else max(0, now - self.known_at)

    def advertised_age(self, now):
        """Age as sent in messages, ns: AGE_UNKNOWN while it is unknown."""
        age = self.age(now)
        return AGE_UNKNOWN if age is None else min(age, AGE_UNKNOWN)

    def _raise_known_at(self, known_at):
        if self.known_at is None or known_at > self.known_at:
            self.known_at = known_at

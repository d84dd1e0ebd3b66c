"""How old what one holds may be: since when it is certain that nothing newer was committed."""

from collections import deque

AGE_UNKNOWN = 2**62  # ns; told in place of an age by who knows none
MARKS_MOST = 64  # heartbeats remembered whose revision is not held yet


class Freshness:
    """Fed with what others say of the newest revision. `known_at`: at that time, ns by our clock, everything
    committed anywhere was no newer than what is held; None before anything was heard."""

    def __init__(self, known_at=None):
        self.known_at = known_at
        self.marks = deque()  # (revision, time) that count once the revision is held

    def heard(self, after, commit, age, held):
        """It was said after the time `after` that for `age` ns nothing newer than `commit` was committed;
        `held` is our own revision. A message may have been long on its way: `after` is a time that its sender
        echoed.
        """
        if age >= AGE_UNKNOWN:
            return
        at = after - age
        if commit <= held:
            self._known(at)
            return
        if self.marks and self.marks[-1][0] == commit:
            self.marks[-1] = (commit, max(at, self.marks[-1][1]))
        elif len(self.marks) < MARKS_MOST:
            self.marks.append((commit, at))

    def reached(self, held):
        """Our revision is now `held`."""
        while self.marks and self.marks[0][0] <= held:
            self._known(self.marks.popleft()[1])

    def age(self, now):
        """ns, or None while nothing is known."""
        return None if self.known_at is None else max(0, now - self.known_at)

    def told_age(self, now):
        """The age as it is told to others: AGE_UNKNOWN while nothing is known."""
        age = self.age(now)
        return AGE_UNKNOWN if age is None else min(age, AGE_UNKNOWN)

    def _known(self, at):
        if self.known_at is None or at > self.known_at:
            self.known_at = at

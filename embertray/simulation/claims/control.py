"""Claims about the control plane, checked against what its processes do; no I/O.

| claim | broken when |
| --- | --- |
| history | two replicas commit different entries under one revision |
| acknowledged | an acknowledged write is not what was committed, or no majority has it on disk |
| request | one request is committed under two revisions |
| once | a subscriber applies a revision of a key twice, or an older one after a newer one |
| committed | a subscriber applies what no replica committed |
| age | a subscriber whose age is `a` lacks a write that was acknowledged `a` ago or earlier |
| in force | a write is not applied within its bound at a subscriber that was within reach all the while |
| prompt | the same, long after the last fault, with the bound for good links |
| alike | at the end, subscribers at one revision hold different entries |
"""

from bisect import bisect_right
from collections import Counter
from dataclasses import dataclass

SECOND_NS = 10**9
MAX_VIOLATIONS_KEPT = 50  # all are counted
CLAIMS = ("history", "acknowledged", "request", "once", "committed", "age", "in force", "prompt", "alike")


@dataclass(frozen=True)
class Violation:
    """One violation of a claim, at a time in ns."""

    claim: str
    at: int
    text: str


@dataclass(frozen=True)
class Acknowledged:
    """A write that was acknowledged to its writer, at a time in ns."""

    at: int
    revision: int


class ControlClaims:
    """Checks events and reports, given in the order of time (ns of one clock).

    Attributes:
        history: revision -> the committed Entry.
        acknowledged: the acknowledged writes, in order.
        broken: the first violations.
        counts: claim -> number of violations.
        checks: claim -> number of checks.
        propagation_times: claim -> ns until each write was in force at each subscriber within reach, at the
            resolution of the checks.
    """

    def __init__(self):
        self.history = {}  # revision -> Entry
        self.requests = {}  # request -> revision
        self.acknowledged = []  # in order
        self.max_revisions = []  # by position in `acknowledged`: the newest revision up to there
        self.applied_revisions = {}  # (subscriber, key) -> revision
        # (claim, subscriber) -> position in `acknowledged` up to which all was in force
        self.checked_positions = {}
        self.broken = []
        self.counts = Counter()
        self.checks = Counter()
        self.propagation_times = {"in force": [], "prompt": []}

    @property
    def kept(self):
        """Whether no claim was broken."""
        return not self.counts

    # ---- events

    def entry_committed(self, now, replica, entry):
        """Checks an entry that a replica committed."""
        self.checks["history"] += 1
        known = self.history.setdefault(entry.revision, entry)
        if known != entry:
            self._record_violation("history", now, f"{replica} committed {entry}, before it was {known}")
        if entry.request and self.requests.setdefault(entry.request, entry.revision) != entry.revision:
            text = f"{replica} committed {entry.request} twice, at {entry.revision}"
            self._record_violation("request", now, text)

    def write_acknowledged(self, now, revision, key, value, durable, majority):
        """Checks an acknowledged write; `durable`: number of replicas that have it on disk."""
        self.checks["acknowledged"] += 1
        entry = self.history.get(revision)
        if entry is None or (entry.key, entry.value) != (key, value):
            self._record_violation(
                "acknowledged", now, f"{key} at {revision} was acknowledged, committed is {entry}"
            )
        if durable < majority:
            self._record_violation(
                "acknowledged", now, f"revision {revision} is on {durable} disks, {majority} needed"
            )
        newest = max(revision, self.max_revisions[-1] if self.max_revisions else 0)
        self.acknowledged.append(Acknowledged(now, revision))
        self.max_revisions.append(newest)

    def entry_applied(self, now, subscriber, entry):
        """Checks an entry that a subscriber applied; a removal found by a repair has term 0."""
        self.checks["once"] += 1
        place = (subscriber, entry.key)
        before = self.applied_revisions.get(place, 0)
        if entry.revision <= before:
            self._record_violation(
                "once", now, f"{subscriber} applied {entry.key} at {entry.revision} after {before}"
            )
        self.applied_revisions[place] = max(before, entry.revision)
        if entry.term and self.history.get(entry.revision) != entry:
            self._record_violation("committed", now, f"{subscriber} applied {entry}, which nobody committed")

    def subscriber_emptied(self, subscriber):
        """Takes note that a subscriber starts without entries."""
        self.applied_revisions = {
            place: at for place, at in self.applied_revisions.items() if place[0] != subscriber
        }

    def count_out_of_reach(self, now, subscriber):
        """Counts that a subscriber is out of reach, and nothing is claimed about it."""
        self.checks["out of reach"] += 1

    # ---- reports

    def check_age(self, now, subscriber, revision, age):
        """Checks the age in ns that a subscriber reports for its entries; None: it does not know."""
        if age is None:
            return
        self.checks["age"] += 1
        position = bisect_right(self.acknowledged, now - age, key=lambda one: one.at)
        if position and self.max_revisions[position - 1] > revision:
            late = self.max_revisions[position - 1]
            self._record_violation(
                "age",
                now,
                f"{subscriber} at {revision} says {age / SECOND_NS:.2f} s, {late} was acknowledged by then",
            )

    def check_in_force(self, now, subscriber, revision, since, bound, claim="in force"):
        """Checks which writes are in force at a subscriber that holds everything up to `revision`.

        Args:
            now: ns.
            subscriber: its name.
            revision: the newest revision that it holds.
            since: ns since when it has been within reach of all it needs; None: it is not.
            bound: ns after `since`, or after its acknowledgement, when a write is due.
            claim: the claim that a late write violates.
        """
        place = (claim, subscriber)
        position = self.checked_positions.get(place, 0)
        while position < len(self.acknowledged):
            write = self.acknowledged[position]
            late = since is not None and now > max(write.at, since) + bound
            if write.revision <= revision:
                self._on_time(now, write, since, claim)
            elif late:
                text = (
                    f"{subscriber} is at {revision}, {write.revision} was due after {bound / SECOND_NS:.1f} s"
                )
                self._record_violation(claim, now, text)
            else:
                break
            position += 1
        self.checked_positions[place] = position

    def _on_time(self, now, write, since, claim):
        self.checks[claim] += 1
        if since is not None and since <= write.at:
            self.propagation_times[claim].append(now - write.at)

    def check_identical(self, now, final):
        """Checks that subscribers are identical at the end; `final`: subscriber -> (revision, digest)."""
        by_revision = {}
        for subscriber, (revision, digest) in sorted(final.items()):
            self.checks["alike"] += 1
            first = by_revision.setdefault(revision, (subscriber, digest))
            if first[1] != digest:
                self._record_violation(
                    "alike", now, f"{subscriber} and {first[0]} differ at revision {revision}"
                )

    def _record_violation(self, claim, now, text):
        self.counts[claim] += 1
        if len(self.broken) < MAX_VIOLATIONS_KEPT:
            self.broken.append(Violation(claim, now, text))

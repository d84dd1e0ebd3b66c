"""Claims about a cluster, checked against what its members report; no I/O.

Members in processes and members in virtual time are checked in the same way.

| claim | broken when |
| --- | --- |
| seen | a member without any contact is not dead or left at another within the detection bound |
| wrong | a member that has been within reach for the recovery bound is considered dead |
| fresh | an entry is older than the freshness bound at a member that has reached its owner directly for
longer than the recovery and the freshness bound together |
| young | an entry of a member that is out of reach is younger than that member's silence |
| alone | a process without any contact does not report that it is cut off within the detection bound, or one
within reach of others for the recovery bound does |

The silence of a member begins when it was last in contact with a member that was later in contact with the
holder.
"""

from dataclasses import dataclass

from embertray.cluster.membership import MembershipConfig

from .bounds import detection_bound, freshness_bound, recovery_bound
from .reachability import Reachability

SECOND_NS = 10**9
SEEN = "seen"
WRONG = "wrong"
FRESH = "fresh"
YOUNG = "young"
ALONE = "alone"
NAMES = (SEEN, WRONG, FRESH, YOUNG, ALONE)
MAX_TEXTS_PER_CLAIM = 10
UNKNOWN_AGE_FACTOR = 99  # a missing entry counts as so many times the bound


@dataclass(slots=True)
class MemberView:
    """What `holder` reports about `member`.

    Attributes:
        now: ns.
        holder: the member that reports.
        member: the member that is reported on.
        state: its reported state; None: unknown.
        age: age of its entry, ns; None: the holder has none.
        in_reach_for: ns for which the two have been within reach of each other; 0: they are not.
        out_of_reach_for: ns for which nothing has passed between the two; 0: something does.
    """

    now: int
    holder: str
    member: str
    state: str | None
    age: int | None
    in_reach_for: int
    out_of_reach_for: int


class ClusterClaims:
    """Checks the reports of members, given the changes to processes and links by way of `reachability`.

    Args:
        links: a Network with the links between the members.
        period: ns between two probes of one member, and between two exchanges.
        exchange: ns after which an exchange with an unreachable member is abandoned.
        slack: ns by which a report may be late.

    Attributes:
        reachability: the Reachability.
        broken: claim -> texts of its violations.
        checks: claim -> number of checks.
        report_count: number of reports.
        max_age_ratio: the greatest age of an entry relative to its bound.
    """

    def __init__(self, links, period, exchange, slack):
        self.reachability = Reachability(links, period, MembershipConfig().indirect_probes)
        self.names = self.reachability.names
        self.period = period
        self.exchange = exchange
        self.slack = slack
        self.detection = detection_bound(len(self.names), period)
        self.recovery = recovery_bound(len(self.names), period)
        self.broken = {name: [] for name in NAMES}
        self.checks = dict.fromkeys(NAMES, 0)
        self.max_age_ratio = 0.0
        self.report_count = 0

    def check_report(self, now, holder, states, ages, cut_off):
        """Checks what one member reports; a member that does not run is not checked.

        Args:
            now: ns.
            holder: the member that reports.
            states: name of another member -> its state.
            ages: name of another member -> ns since its entry was published, or None.
            cut_off: whether the holder reports that it is cut off.
        """
        reachability = self.reachability
        reachability.apply_starts()
        if not reachability.is_running(holder):
            return
        self.report_count += 1
        others = [name for name in self.names if name != holder]
        for member in others:
            in_reach_for = reachability.in_reach_for(now, holder, member)
            out_of_reach_for = reachability.out_of_reach_for(now, holder, member)
            view = MemberView(
                now, holder, member, states.get(member), ages.get(member), in_reach_for, out_of_reach_for
            )
            self._check_seen(view)
            self._check_wrong(view)
            self._check_fresh(view)
            self._check_young(view)
        self._check_alone(now, holder, others, cut_off)

    def verdicts(self):
        """Returns claim -> "kept", "broken", or "not met" if no report could check it."""
        return {
            name: "broken" if self.broken[name] else "kept" if self.checks[name] else "not met"
            for name in NAMES
        }

    # ---- the claims

    def _check_seen(self, view):
        if view.out_of_reach_for <= self.detection + self.slack:
            return
        self.checks[SEEN] += 1
        if view.state not in ("dead", "left", None):
            seconds = view.out_of_reach_for / SECOND_NS
            text = f"{view.holder} takes {view.member} for {view.state}, out of reach for {seconds:.1f} s"
            self._record_violation(SEEN, view.now, text)

    def _check_wrong(self, view):
        if view.in_reach_for <= self.recovery + self.slack:
            return
        self.checks[WRONG] += 1
        if view.state not in ("alive", "suspect"):
            seconds = view.in_reach_for / SECOND_NS
            text = f"{view.holder} takes {view.member} for {view.state}, within reach for {seconds:.1f} s"
            self._record_violation(WRONG, view.now, text)

    def _check_fresh(self, view):
        direct = self.reachability.direct.get((view.holder, view.member))
        if direct is None:
            return
        since, unreachable = direct
        bound = freshness_bound(len(self.names), self.period, self.exchange, unreachable)
        if view.now - since <= self.recovery + bound + self.slack:
            return
        self.checks[FRESH] += 1
        age = view.age if view.age is not None else UNKNOWN_AGE_FACTOR * bound
        self.max_age_ratio = max(self.max_age_ratio, age / bound)
        if view.age is None or view.age > bound + self.slack:
            old = "nothing" if view.age is None else f"{view.age / SECOND_NS:.2f} s old"
            text = f"{view.holder} holds of {view.member} what is {old}, over {bound / SECOND_NS:.2f} s"
            self._record_violation(FRESH, view.now, text)

    def _check_young(self, view):
        if not view.out_of_reach_for or view.age is None:
            return
        silence = view.now - self.reachability.last_contact[view.holder][view.member]
        if silence <= self.exchange + self.slack:
            return
        self.checks[YOUNG] += 1
        if view.age < silence - self.exchange - self.slack:
            age = view.age / SECOND_NS
            silence_s = silence / SECOND_NS
            text = (
                f"{view.holder} holds of {view.member} what is {age:.2f} s old, silent for {silence_s:.2f} s"
            )
            self._record_violation(YOUNG, view.now, text)

    def _check_alone(self, now, holder, others, cut_off):
        reachability = self.reachability
        apart = self.detection + self.slack
        together = self.recovery + self.slack
        if others and all(reachability.out_of_reach_for(now, holder, other) > apart for other in others):
            self.checks[ALONE] += 1
            if not cut_off:
                self._record_violation(ALONE, now, f"{holder} does not say that it is cut off")
        elif any(reachability.in_reach_for(now, holder, other) > together for other in others):
            self.checks[ALONE] += 1
            if cut_off:
                self._record_violation(ALONE, now, f"{holder} says that it is cut off")

    def _record_violation(self, claim, now, text):
        if len(self.broken[claim]) < MAX_TEXTS_PER_CLAIM:
            self.broken[claim].append(f"at {now / SECOND_NS:.2f} s: {text}")

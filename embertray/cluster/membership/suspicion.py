"""What may be done about a member under suspicion, and what that member may do itself.

A member under suspicion is still active: it is probed, it counts, and it may refute. It becomes dead
- when its suspicion timeout ends and this member suspects it, too,
- or when it is reported dead, and does not answer this member's own probe either.
"""

from abc import ABC, abstractmethod

from .member import ALIVE, DEAD, SUSPECT, Statement
from .outbox import Outbox


class SuspicionRules(Outbox, ABC):
    """Rules of suspicion, refutation and death."""

    @abstractmethod
    def apply(self, now, statement):
        """Apply a statement (StatementRules)."""

    @abstractmethod
    def probe(self, now, name=None):
        """Probe a member (Prober)."""

    def statement_about(self, member, state):
        """Return this member's statement that another one is in a state.

        Args:
            member: The Member.
            state: The MemberState.
        """
        return member.statement.with_state(state, self.local.name)

    def add_suspicion(self, member, suspected_by):
        """Note who suspects a member: the suspicion timeout shrinks with each.

        Args:
            member: The Member; its state is SUSPECT.
            suspected_by: Name of the member that suspects it.
        """
        member.suspected_by.add(suspected_by)
        if member.reported_death:
            member.suspicion_deadline = None  # this member's own probe decides
            return
        timeout = self.config.suspicion_timeout(self.members.active_count + 1, len(member.suspected_by) - 1)
        member.suspicion_deadline = member.state_since + timeout

    def adds_suspicion(self, member, statement):
        """Return whether a statement confirms the suspicion that holds.

        Args:
            member: The Member.
            statement: A Statement about it.
        """
        return (
            statement.state == SUSPECT
            and statement.rank == member.statement.rank
            and statement.reported_by not in member.suspected_by
        )

    def on_probe_failure(self, now, member):
        """Suspect a member that did not answer; if it is also reported dead, it is dead.

        Args:
            now: The time, ns.
            member: The Member.
        """
        state = SUSPECT if member.reported_death is None else DEAD
        self.apply(now, self.statement_about(member, state))

    def on_suspicion_timeout(self, now, member):
        """End a suspicion that was not refuted in time.

        Args:
            now: The time, ns.
            member: The Member.
        """
        death = self.statement_about(member, DEAD)
        if self.local.name in member.suspected_by:
            self.apply(now, death)
        else:
            self.verify_reported_death(now, member, death)

    def is_unconfirmed_death(self, member, statement):
        """Return whether a statement declares a member dead that this member has not missed itself.

        Args:
            member: The Member.
            statement: A Statement about it.
        """
        return (
            statement.state == DEAD
            and member.active
            and statement.reported_by != self.local.name
            and self.local.name not in member.suspected_by
        )

    def verify_reported_death(self, now, member, statement):
        """Probe a member that others declare dead before its death is believed.

        Guards against the other side of a network partition that ends, which has taken this side's members
        for dead, and against members that reach this one worse: both show as deaths of members that answer
        us. Nobody is dead here that this member has not missed itself.

        Args:
            now: The time, ns.
            member: The Member.
            statement: The Statement that it is dead.
        """
        if member.reported_death is not None and statement.rank <= member.reported_death.rank:
            return
        if member.state != SUSPECT:
            self.apply(now, statement.with_state(SUSPECT, statement.reported_by))
        self.gossip.put(statement)
        member.reported_death = statement
        member.suspicion_deadline = None
        self.probe(now, member.name)

    def refute(self, statement):
        """Refute that this member is suspect or dead, by a statement of higher rank.

        That it came to this is a sign that this member is slow.

        Args:
            statement: The Statement about this member.
        """
        self.local = Statement(
            self.local.name, self.local.address, self.local.incarnation, statement.refutations + 1, ALIVE
        )
        self.health.degrade()
        self.gossip.put(self.local)

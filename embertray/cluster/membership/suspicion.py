"""Suspicion, refutation and death of members.

A suspect member is still active: it is probed, counts as a member and may refute the suspicion. It becomes
dead
- when the suspicion times out and this member suspects it itself,
- or when another member reports it dead and it does not answer this member's own probe either.
"""

from abc import ABC, abstractmethod

from .member import ALIVE, DEAD, SUSPECT, Statement
from .outbox import Outbox


class SuspicionRules(Outbox, ABC):
    """The rules of suspicion, refutation and death."""

    @abstractmethod
    def apply(self, now, statement):
        """Apply a statement (StatementRules)."""

    @abstractmethod
    def probe(self, now, name=None):
        """Probe a member (Prober)."""

    def statement_about(self, member, state):
        """Return a statement, reported by this member, that another member is in a state.

        Args:
            member: The Member.
            state: The MemberState.
        """
        return member.statement.with_state(state, self.local.name)

    def add_suspicion(self, member, suspected_by):
        """Record a member that suspects another; each one shortens the suspicion timeout.

        Args:
            member: The suspected Member; its state is SUSPECT.
            suspected_by: Name of the member that suspects it.
        """
        member.suspected_by.add(suspected_by)
        if member.reported_death:
            member.suspicion_deadline = None  # this member's own probe decides
            return
        timeout = self.config.suspicion_timeout(self.members.active_count + 1, len(member.suspected_by) - 1)
        member.suspicion_deadline = member.state_since + timeout

    def adds_suspicion(self, member, statement):
        """Return whether a statement adds a new confirmation to a member's current suspicion.

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
        """Suspect a member whose probe failed; if others also report it dead, declare it dead.

        Args:
            now: The time, ns.
            member: The Member.
        """
        state = SUSPECT if member.reported_death is None else DEAD
        self.apply(now, self.statement_about(member, state))

    def on_suspicion_timeout(self, now, member):
        """Handle a suspicion that was not refuted in time.

        The member is dead if this member suspects it itself; else it is probed first.

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
        """Return whether a statement declares a member dead that this member does not suspect itself.

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
        """Probe a member that others declare dead before accepting its death.

        After a network partition the other side has declared this side's members dead, and a member with
        worse links may declare others dead; without this check both would count as deaths of members that
        still answer this one. A member is only dead here if this member has failed to reach it, too.

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
        """Refute a suspicion or death of this member by a statement of higher rank.

        That others suspect it is a sign that this member is slow, so its local health degrades.

        Args:
            statement: The Statement about this member.
        """
        self.local = Statement(
            self.local.name, self.local.address, self.local.incarnation, statement.refutations + 1, ALIVE
        )
        self.health.degrade()
        self.gossip.put(self.local)

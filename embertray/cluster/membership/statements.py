"""Merging of statements about members, and the reactions to them."""

from .events import MemberChanged
from .member import ALIVE, DEAD, LEFT, SUSPECT, Member
from .messages import Join
from .suspicion import SuspicionRules


class StatementRules(SuspicionRules):
    """Applies statements from any source: of those about a member the one with the highest rank prevails."""

    def apply_all(self, now, statements):
        """Apply the statements of a message.

        Most of them are already known and cost only a comparison.

        Args:
            now: The time, ns.
            statements: The Statements.
        """
        for statement in statements:
            member = self.members.get(statement.name)
            if member is None or not member.statement.subsumes(statement):
                self.apply(now, statement)

    def apply(self, now, statement):
        """Apply one statement, and gossip it if it prevails.

        Args:
            now: The time, ns.
            statement: The Statement.
        """
        if statement.name == self.local.name:
            self.apply_to_self(statement)
            return
        member = self.members.get(statement.name)
        if member is None:
            self.add_member(now, statement)
        elif statement.rank > member.statement.rank:
            if self.is_unconfirmed_death(member, statement):
                self.verify_reported_death(now, member, statement)
            else:
                self.replace_statement(now, member, statement)
                self.accept(member, statement)
        elif self.adds_suspicion(member, statement):
            self.accept(member, statement)
        elif statement.rank < member.statement.rank and member.state != ALIVE:
            # The sender missed a newer statement, for example on a link that was down. Gossip that statement
            # again: the sender may reach the member that has to refute it, and without a refutation the
            # member would stay dead for good.
            self.gossip.put(member.statement)

    def apply_to_self(self, statement):
        """Apply a statement about this member itself.

        Args:
            statement: The Statement.
        """
        if statement.incarnation > self.local.incarnation and self.joined:
            self.end(f"a younger process has the name {self.local.name}, at {statement.address}")
        elif (
            statement.incarnation == self.local.incarnation
            and statement.state != ALIVE
            and statement.refutations >= self.local.refutations
            and self.local.state == ALIVE
        ):
            self.refute(statement)

    def add_member(self, now, statement):
        """Add a member that was not known before.

        A member that is dead or has left is only stored, so that an older statement cannot add it as alive.

        Args:
            now: The time, ns.
            statement: The first Statement about it.
        """
        member = Member(statement, now)
        self.members.add(member)
        if statement.state in (DEAD, LEFT):
            return
        self.probe_order.add(statement.name)
        self.record_change(statement)
        self.accept(member, statement)

    def replace_statement(self, now, member, statement):
        """Replace a member's statement by one of higher rank.

        Args:
            now: The time, ns.
            member: The Member.
            statement: The Statement.
        """
        old = member.statement
        self.members.replace_statement(member, statement)
        if (statement.state, statement.incarnation) == (old.state, old.incarnation):
            return
        member.enter_state(now)
        if old.state in (DEAD, LEFT) and member.active:
            self.on_member_returned(member)
        self.record_change(statement)

    def accept(self, member, statement):
        """Gossip a statement that prevails, and count it if it is a suspicion.

        Args:
            member: The Member.
            statement: The Statement.
        """
        if statement.state == SUSPECT:
            self.add_suspicion(member, statement.reported_by)
        self.gossip.put(statement)

    def on_member_returned(self, member):
        """Probe a member again that was dead or had left, and request its full state.

        A network partition may have ended, in which case the member knows the other side's members.

        Args:
            member: The Member.
        """
        self.probe_order.add(member.name)
        self.send_to_member(member, Join, self.next_sequence(), first=False)

    def record_change(self, statement):
        """Record a MemberChanged event.

        Args:
            statement: The Statement that prevails.
        """
        self.events.append(MemberChanged(statement.name, statement.state, statement.address))

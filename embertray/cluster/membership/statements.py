"""Which statements about members hold, and what follows from each."""

from .events import MemberChanged
from .member import ALIVE, DEAD, LEFT, SUSPECT, Member
from .messages import Join
from .suspicion import SuspicionRules


class StatementRules(SuspicionRules):
    """Applies statements, from whomever they come: the statement of highest rank about a member holds."""

    def apply_all(self, now, statements):
        """Apply the statements of a message.

        Most repeat what is known, and cost a comparison only.

        Args:
            now: The time, ns.
            statements: The Statements.
        """
        for statement in statements:
            member = self.members.get(statement.name)
            if member is None or not member.statement.subsumes(statement):
                self.apply(now, statement)

    def apply(self, now, statement):
        """Apply one statement. If it holds, it is gossiped.

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
            # Guards against statements lost on links that were down: they show as a member that stays dead
            # for good, as nobody tells it. Whoever repeats the older statement may reach the one to refute.
            self.gossip.put(member.statement)

    def apply_to_self(self, statement):
        """Apply a statement about this member's name.

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
        """Add a member that was not known.

        One that is dead or has left is remembered only, against an old statement that would make it new.

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
        """Put a statement of higher rank in the place of the former one.

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
        """Gossip a statement that holds now; a suspicion is counted.

        Args:
            member: The Member.
            statement: The Statement.
        """
        if statement.state == SUSPECT:
            self.add_suspicion(member, statement.reported_by)
        self.gossip.put(statement)

    def on_member_returned(self, member):
        """Ask a member that was taken for dead for all that it knows: a partition may have ended.

        Args:
            member: The Member.
        """
        self.probe_order.add(member.name)
        self.send_to_member(member, Join, self.next_sequence(), first=False)

    def record_change(self, statement):
        """Add the event of a member's new state.

        Args:
            statement: The Statement that holds.
        """
        self.events.append(MemberChanged(statement.name, statement.state, statement.address))

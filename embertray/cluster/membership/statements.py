"""What is stated of members: which statements hold, what follows for a member, and for us."""

from collections import namedtuple

from .member import ALIVE, DEAD, LEFT, SUSPECT, Member, Statement
from .messages import Join
from .outbox import Outbox

MemberChanged = namedtuple(
    "MemberChanged", "name state address"
)  # told once for each change of a member, in order


class Statements(Outbox):
    """Also has `round`, `health`, `changes`, `joined`, `probe(now, name)` and `end(why)`."""

    def apply_all(self, now, news):
        """As `apply` for each; most of them repeat what is known already, and cost a comparison."""
        for statement in news:
            member = self.members.get(statement.name)
            if member is None or not member.statement.repeats(statement):
                self.apply(now, statement)

    def apply(self, now, statement):
        """A statement from anywhere. Those that hold against what is known are taken, told and handed on."""
        if statement.name == self.me.name:
            self.of_me(statement)
            return
        member = self.members.get(statement.name)
        if member is None:
            member = self.members.add(Member(statement, now))
            if statement.state in (DEAD, LEFT):
                return  # remembered against an old statement that would make it new
            self.probe_order.add(statement.name)
            self.changed(statement)
        elif statement.rank > member.statement.rank:
            if (
                statement.state == DEAD
                and member.active
                and statement.reported_by != self.me.name
                and self.me.name not in member.suspected_by
            ):
                self.death_reported(now, member, statement)
                return
            old = member.statement
            self.members.restate(member, statement)
            if (statement.state, statement.incarnation) != (old.state, old.incarnation):
                member.state_since, member.suspicion_ends_at, member.suspected_by, member.reported_death = (
                    now,
                    None,
                    set(),
                    None,
                )
                if old.state not in (ALIVE, SUSPECT) and member.active:
                    self.back(member)
                self.changed(statement)
        elif not (
            statement.state == SUSPECT
            and statement.rank == member.statement.rank
            and statement.reported_by not in member.suspected_by
        ):
            if statement.rank < member.statement.rank and member.state != ALIVE:
                self.gossip.put(
                    member.statement
                )  # somebody lacks it, who may reach the one to deny it: against words lost on shut links
            return
        if statement.state == SUSPECT:
            member.suspected_by.add(statement.reported_by)
            member.suspicion_ends_at = (
                None
                if member.reported_death
                else member.state_since
                + self.config.suspicion_timeout(self.members.active_count + 1, len(member.suspected_by) - 1)
            )
        self.gossip.put(statement)

    def death_reported(self, now, member, statement):
        """It is dead by the word of others, and we have missed nothing of it: looked at by ourselves before
        it counts. Against the other side of a split that ends, which took ours for dead, and against those
        who reach it worse than we do."""
        if member.reported_death is None or statement.rank > member.reported_death.rank:
            if member.state != SUSPECT:
                self.apply(
                    now,
                    Statement(
                        statement.name,
                        statement.address,
                        statement.incarnation,
                        statement.refutations,
                        SUSPECT,
                        statement.reported_by,
                    ),
                )
            self.gossip.put(statement)
            member.reported_death, member.suspicion_ends_at = statement, None
            self.probe(now, member.name)

    def back(self, member):
        """One taken for dead is there: what each side of a split has come to know is exchanged whole."""
        self.probe_order.add(member.name)
        self.put(
            member.address, Join, member.statement.incarnation, self.next_sequence(), member.name, first=False
        )

    def of_me(self, statement):
        if statement.incarnation > self.me.incarnation and self.joined:
            self.end(f"a younger process has the name {self.me.name}, at {statement.address}")
        elif (
            statement.incarnation == self.me.incarnation
            and statement.state != ALIVE
            and statement.refutations >= self.me.refutations
            and self.me.state == ALIVE
        ):
            # turned worse by others: denied with a later turn; that it came to this tells of us
            self.me = Statement(
                self.me.name, self.me.address, self.me.incarnation, statement.refutations + 1, ALIVE
            )
            self.health.degrade()
            self.gossip.put(self.me)

    def statement_about(self, member, state):
        statement = member.statement
        return Statement(
            statement.name,
            statement.address,
            statement.incarnation,
            statement.refutations,
            state,
            self.me.name,
        )

    def changed(self, statement):
        self.events.append(MemberChanged(statement.name, statement.state, statement.address))

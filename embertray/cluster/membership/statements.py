"""What is stated of members: which statements hold, what follows for a member, and for us."""

from collections import namedtuple

from .member import ALIVE, DEAD, LEFT, SUSPECT, Member, Statement
from .messages import Join
from .outbox import Outbox

Change = namedtuple("Change", "name state address")  # told once for each change of a member, in order


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
            self.round.joined(statement.name)
            self.changed(statement)
        elif statement.rank > member.statement.rank:
            if (
                statement.state == DEAD
                and member.here
                and statement.by != self.me.name
                and self.me.name not in member.doubters
            ):
                self.doubted(now, member, statement)
                return
            old = member.statement
            self.members.restate(member, statement)
            if (statement.state, statement.life) != (old.state, old.life):
                member.since, member.deadline, member.doubters, member.death = now, None, set(), None
                if old.state not in (ALIVE, SUSPECT) and member.here:
                    self.back(member)
                self.changed(statement)
        elif not (
            statement.state == SUSPECT
            and statement.rank == member.statement.rank
            and statement.by not in member.doubters
        ):
            if statement.rank < member.statement.rank and member.state != ALIVE:
                self.rumors.put(
                    member.statement
                )  # somebody lacks it, who may reach the one to deny it: against words lost on shut links
            return
        if statement.state == SUSPECT:
            member.doubters.add(statement.by)
            member.deadline = (
                None
                if member.death
                else member.since + self.pace.wait(self.members.here_count + 1, len(member.doubters) - 1)
            )
        self.rumors.put(statement)

    def doubted(self, now, member, statement):
        """It is dead by the word of others, and we have missed nothing of it: looked at by ourselves before
        it counts. Against the other side of a split that ends, which took ours for dead, and against those
        who reach it worse than we do."""
        if member.death is None or statement.rank > member.death.rank:
            if member.state != SUSPECT:
                self.apply(
                    now,
                    Statement(
                        statement.name,
                        statement.address,
                        statement.life,
                        statement.turn,
                        SUSPECT,
                        statement.by,
                    ),
                )
            self.rumors.put(statement)
            member.death, member.deadline = statement, None
            self.probe(now, member.name)

    def back(self, member):
        """One taken for dead is there: what each side of a split has come to know is exchanged whole."""
        self.round.joined(member.name)
        self.put(member.address, Join, member.statement.life, self.next_number(), member.name, first=False)

    def of_me(self, statement):
        if statement.life > self.me.life and self.joined:
            self.end(f"a younger process has the name {self.me.name}, at {statement.address}")
        elif (
            statement.life == self.me.life
            and statement.state != ALIVE
            and statement.turn >= self.me.turn
            and self.me.state == ALIVE
        ):
            # turned worse by others: denied with a later turn; that it came to this tells of us
            self.me = Statement(self.me.name, self.me.address, self.me.life, statement.turn + 1, ALIVE)
            self.health.bad()
            self.rumors.put(self.me)

    def about(self, member, state):
        statement = member.statement
        return Statement(
            statement.name, statement.address, statement.life, statement.turn, state, self.me.name
        )

    def changed(self, statement):
        self.changes.append(Change(statement.name, statement.state, statement.address))

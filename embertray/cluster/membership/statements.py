"""What is stated of members: which statements hold, what follows for a member, and for us."""

from collections import namedtuple

from .member import ALIVE, DEAD, LEFT, SUSPECT, Member, Statement
from .messages import Join
from .outbox import Outbox

Change = namedtuple("Change", "name state address")  # told once for each change of a member, in order


class Statements(Outbox):
    """Also has `round`, `health`, `changes`, `joined`, `probe(now, name)` and `end(why)`."""

    def take_all(self, now, news):
        """As `take` for each; most of them repeat what is known already, and cost a comparison."""
        for said in news:
            member = self.members.get(said.name)
            if member is None or not member.said.repeats(said):
                self.take(now, said)

    def take(self, now, said):
        """A statement from anywhere. Those that hold against what is known are taken, told and handed on."""
        if said.name == self.me.name:
            self.of_me(said)
            return
        member = self.members.get(said.name)
        if member is None:
            member = self.members.add(Member(said, now))
            if said.state in (DEAD, LEFT):
                return  # remembered against an old statement that would make it new
            self.round.joined(said.name)
            self.changed(said)
        elif said.rank > member.said.rank:
            if (
                said.state == DEAD
                and member.here
                and said.by != self.me.name
                and self.me.name not in member.doubters
            ):
                self.doubted(now, member, said)
                return
            old = member.said
            self.members.restate(member, said)
            if (said.state, said.life) != (old.state, old.life):
                member.since, member.deadline, member.doubters, member.death = now, None, set(), None
                if old.state not in (ALIVE, SUSPECT) and member.here:
                    self.back(member)
                self.changed(said)
        elif not (said.state == SUSPECT and said.rank == member.said.rank and said.by not in member.doubters):
            if said.rank < member.said.rank and member.state != ALIVE:
                self.rumors.put(
                    member.said
                )  # somebody lacks it, who may reach the one to deny it: against words lost on shut links
            return
        if said.state == SUSPECT:
            member.doubters.add(said.by)
            member.deadline = (
                None
                if member.death
                else member.since + self.pace.wait(self.members.here_count + 1, len(member.doubters) - 1)
            )
        self.rumors.put(said)

    def doubted(self, now, member, said):
        """It is dead by the word of others, and we have missed nothing of it: looked at by ourselves before
        it counts. Against the other side of a split that ends, which took ours for dead, and against those
        who reach it worse than we do."""
        if member.death is None or said.rank > member.death.rank:
            if member.state != SUSPECT:
                self.take(now, Statement(said.name, said.address, said.life, said.turn, SUSPECT, said.by))
            self.rumors.put(said)
            member.death, member.deadline = said, None
            self.probe(now, member.name)

    def back(self, member):
        """One taken for dead is there: what each side of a split has come to know is exchanged whole."""
        self.round.joined(member.name)
        self.put(member.address, Join, member.said.life, self.next_number(), member.name, first=False)

    def of_me(self, said):
        if said.life > self.me.life and self.joined:
            self.end(f"a younger process has the name {self.me.name}, at {said.address}")
        elif (
            said.life == self.me.life
            and said.state != ALIVE
            and said.turn >= self.me.turn
            and self.me.state == ALIVE
        ):
            # turned worse by others: denied with a later turn; that it came to this tells of us
            self.me = Statement(self.me.name, self.me.address, self.me.life, said.turn + 1, ALIVE)
            self.health.bad()
            self.rumors.put(self.me)

    def about(self, member, state):
        said = member.said
        return Statement(said.name, said.address, said.life, said.turn, state, self.me.name)

    def changed(self, said):
        self.changes.append(Change(said.name, said.state, said.address))

"""Whom to ask whether it is there: members in turns, helpers in one's place, and those that were lost."""

from .member import DEAD, SUSPECT
from .messages import Help, Join, Ping
from .probes import Probe
from .statements import Statements


class Seeking(Statements):
    """Also has `probes`, the rounds `lost` and `full`, `seeds`, and `chance`."""

    def probe(self, now, name=None):
        """`name`: out of turn."""
        name = name or self.round.next(member.name for member in self.here)
        if name is None:
            return
        member = self.members[name]
        number = self.next_number()
        self.probes[number] = Probe(
            name,
            member.statement.life,
            now + self.health.stretch(self.pace.answer),
            now + self.health.stretch(self.pace.period),
        )
        self.send(member, Ping, number)

    def ask_helpers(self, now, number, probe):
        probe.helped = True
        others = sorted(m.name for m in self.here if m.name != probe.target)
        member = self.members.get(probe.target)
        for name in self.chance.sample(others, min(self.pace.helpers, len(others))) if member else ():
            probe.asked += 1
            self.send(self.members[name], Help, number, about=member.statement)

    def failed(self, now, number, probe):
        del self.probes[number]
        if probe.for_:
            return  # the asker knows by its own time
        self.health.bad(
            1 + probe.asked if probe.asked else 1
        )  # helpers that did not even say no: it may be us
        member = self.members.get(probe.target)
        if member is not None and member.here and member.statement.life == probe.life:
            self.apply(now, self.about(member, DEAD if member.death is not None else SUSPECT))

    def beckon(self, now):
        """Seeds, and those taken for dead, are pinged now and then: so the sides of a split find each other
        again. One that is there is asked for all that it knows."""
        known = {m.address for m in self.here}
        lost = sorted(m.name for m in self.members.values() if m.state == DEAD)
        for _ in range(
            min(self.pace.helpers, len(lost))
        ):  # each in its turn: how long one waits for a ping is bounded
            self.send(self.members[self.lost.next(lost)], Ping, self.next_number())
        if (
            name := self.full.next(m.name for m in self.here)
        ) is not None:  # all that it knows, in turns: against lost words
            self.send(self.members[name], Join, self.next_number(), first=False)
        away = [seed for seed in self.seeds if seed not in known]
        if away and (not self.joined or not lost):
            for seed in away if not self.joined else self.chance.sample(away, 1):
                self.put(seed, Join, 0, self.next_number(), "", first=not self.joined)

"""Whom to ask whether it is there: members in turns, helpers in one's place, and those that were lost."""

from .member import DEAD, SUSPECT
from .messages import Join, Ping, PingRequest
from .probes import Probe
from .statements import Statements


class Seeking(Statements):
    """Also has `probes`, the rounds `lost` and `full`, `seeds`, and `chance`."""

    def probe(self, now, name=None):
        """`name`: out of turn."""
        name = name or self.probe_order.next_name(member.name for member in self.active_members)
        if name is None:
            return
        member = self.members[name]
        number = self.next_sequence()
        self.probes[number] = Probe(
            name,
            member.statement.incarnation,
            now + self.health.stretch(self.config.probe_timeout),
            now + self.health.stretch(self.config.probe_period),
        )
        self.send(member, Ping, number)

    def request_indirect_probes(self, now, number, probe):
        probe.helped = True
        others = sorted(m.name for m in self.active_members if m.name != probe.target)
        member = self.members.get(probe.target)
        for name in (
            self.chance.sample(others, min(self.config.indirect_probes, len(others))) if member else ()
        ):
            probe.asked += 1
            self.send(self.members[name], PingRequest, number, target=member.statement)

    def probe_failed(self, now, number, probe):
        del self.probes[number]
        if probe.on_behalf_of:
            return  # the asker knows by its own time
        self.health.degrade(
            1 + probe.asked if probe.asked else 1
        )  # helpers that did not even say no: it may be us
        member = self.members.get(probe.target)
        if member is not None and member.active and member.statement.incarnation == probe.incarnation:
            self.apply(
                now, self.statement_about(member, DEAD if member.reported_death is not None else SUSPECT)
            )

    def reconnect(self, now):
        """Seeds, and those taken for dead, are pinged now and then: so the sides of a split find each other
        again. One that is there is asked for all that it knows."""
        known = {m.address for m in self.active_members}
        lost = sorted(m.name for m in self.members.values() if m.state == DEAD)
        for _ in range(
            min(self.config.indirect_probes, len(lost))
        ):  # each in its turn: how long one waits for a ping is bounded
            self.send(self.members[self.reconnect_order.next_name(lost)], Ping, self.next_sequence())
        if (
            name := self.sync_order.next_name(m.name for m in self.active_members)
        ) is not None:  # all that it knows, in turns: against lost words
            self.send(self.members[name], Join, self.next_sequence(), first=False)
        away = [seed for seed in self.seeds if seed not in known]
        if away and (not self.joined or not lost):
            for seed in away if not self.joined else self.chance.sample(away, 1):
                self.put(seed, Join, 0, self.next_sequence(), "", first=not self.joined)

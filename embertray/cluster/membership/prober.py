"""Probes: whom to probe, when to ask others to probe, and when a probe has failed."""

from .messages import Ping, PingRequest
from .probes import Probe
from .statements import StatementRules


class Prober(StatementRules):
    """Probes one member each period, in turns; directly, then by others."""

    def probe(self, now, name=None):
        """Probe a member directly.

        Args:
            now: The time, ns.
            name: The member; None for the one whose turn it is.
        """
        name = name or self.probe_order.next_name(self.active_names())
        if name is None:
            return
        member = self.members[name]
        sequence = self.next_sequence()
        self.probes[sequence] = Probe(
            name,
            member.statement.incarnation,
            indirect_at=now + self.health.scale_timeout(self.config.probe_timeout),
            ends_at=now + self.health.scale_timeout(self.config.probe_period),
        )
        self.send_to_member(member, Ping, sequence)

    def probe_for(self, now, member, requester, requester_sequence):
        """Probe a member in another one's place.

        Args:
            now: The time, ns.
            member: The Member to probe.
            requester: Name of the member that asked for it.
            requester_sequence: Sequence number under which it did.
        """
        sequence = self.next_sequence()
        ends_at = now + self.config.probe_period
        self.probes[sequence] = Probe(
            member.name, member.statement.incarnation, ends_at, ends_at, requester, requester_sequence
        )
        self.send_to_member(member, Ping, sequence)

    def check_probes(self, now):
        """Request indirect probes where an answer is late, and end probes that have failed.

        Args:
            now: The time, ns.
        """
        for sequence, probe in list(self.probes.items()):
            if probe.may_request_indirect and now >= probe.indirect_at:
                self.request_indirect_probes(sequence, probe)
            if now >= probe.ends_at:
                self.probe_failed(now, sequence, probe)

    def request_indirect_probes(self, sequence, probe):
        """Ask other members, drawn at random, to probe the target.

        Guards against a broken link between this member and the target, which shows as a suspicion here
        only: others reach it by other links.

        Args:
            sequence: Sequence number of the probe.
            probe: The Probe.
        """
        probe.indirect_requested = True
        target = self.members.get(probe.target)
        if target is None:
            return
        others = sorted(name for name in self.active_names() if name != probe.target)
        for name in self.rng.sample(others, min(self.config.indirect_probes, len(others))):
            probe.nacks_due += 1
            self.send_to_member(self.members[name], PingRequest, sequence, target=target.statement)

    def probe_failed(self, now, sequence, probe):
        """End a probe that was not answered: the target is suspect, and so is this member's own health.

        Args:
            now: The time, ns.
            sequence: Sequence number of the probe.
            probe: The Probe.
        """
        del self.probes[sequence]
        if probe.requester:
            return  # whoever requested it has a timeout of its own
        # Helpers that owe a Nack are a sign that this member is slow, and not the target.
        self.health.degrade(1 + probe.nacks_due)
        member = self.members.get(probe.target)
        if member is not None and member.active and member.statement.incarnation == probe.incarnation:
            self.on_probe_failure(now, member)

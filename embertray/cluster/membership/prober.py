"""Probing: selecting targets, requesting indirect probes, and detecting failed probes."""

from .messages import Ping, PingRequest
from .probes import Probe
from .statements import StatementRules


class Prober(StatementRules):
    """Probes one member per period, in round-robin order: first directly, then through other members."""

    def probe(self, now, name=None):
        """Probe a member directly.

        Args:
            now: The time, ns.
            name: Name of the member; None for the next one in round-robin order.
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
        """Probe a member on behalf of another member.

        Args:
            now: The time, ns.
            member: The Member to probe.
            requester: Name of the member that requested the indirect probe.
            requester_sequence: Sequence number of its request.
        """
        sequence = self.next_sequence()
        ends_at = now + self.config.probe_period
        self.probes[sequence] = Probe(
            member.name, member.statement.incarnation, ends_at, ends_at, requester, requester_sequence
        )
        self.send_to_member(member, Ping, sequence)

    def check_probes(self, now):
        """Request indirect probes where an acknowledgement is late, and end probes that have failed.

        Args:
            now: The time, ns.
        """
        for sequence, probe in list(self.probes.items()):
            if probe.may_request_indirect and now >= probe.indirect_at:
                self.request_indirect_probes(sequence, probe)
            if now >= probe.ends_at:
                self.probe_failed(now, sequence, probe)

    def request_indirect_probes(self, sequence, probe):
        """Ask randomly selected members to probe the target.

        They reach it over other links, so a broken link between this member and the target does not lead to
        a false suspicion.

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
        """End a probe that was not answered: suspect the target, and degrade this member's local health.

        Args:
            now: The time, ns.
            sequence: Sequence number of the probe.
            probe: The Probe.
        """
        del self.probes[sequence]
        if probe.requester:
            return  # the requester has a timeout of its own
        # A missing Nack suggests that this member is slow, not the target (Lifeguard).
        self.health.degrade(1 + probe.nacks_due)
        member = self.members.get(probe.target)
        if member is not None and member.active and member.statement.incarnation == probe.incarnation:
            self.on_probe_failure(now, member)

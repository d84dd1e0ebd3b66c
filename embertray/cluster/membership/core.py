"""The state machine of one member: time and messages in, messages and events out."""

from .handlers import MessageHandlers
from .member import DEAD, LEFT
from .messages import VERSION, Ack, Join, Ping
from .outbox import Recipient

MAX_REJECTED_ADDRESSES = 2048  # addresses by which rejected messages are counted

# Reasons of rejection, as the status shows them.
OTHER_CLUSTER = "cluster"
OTHER_VERSION = "version"
FORMER_INCARNATION = "former life"
OTHER_ADDRESSES = "others"  # in place of an address, past the most that are counted


class Membership(MessageHandlers):
    """The failure detector of one member (arguments and attributes: MembershipState).

    Hand in what came (`receive`) and the time (`advance`, at `next_at` at the latest). Both return
    OutgoingMessages; `events` collects MemberChanged, and `ended` says why this process has to end, if so.
    """

    # ---- time

    def next_at(self):
        """Return when to call `advance` at the latest, ns."""
        times = [self.next_probe_at, self.next_reconnect_at]
        times += [probe.next_at for probe in self.probes.values()]
        times += self.members.suspicion_deadlines()
        return min(times)

    def advance(self, now):
        """Do what is due.

        Args:
            now: The time, ns.

        Returns:
            OutgoingMessages.
        """
        if self.ended:
            return []
        self.detect_pause(now)
        self.outgoing = []
        self.check_probes(now)
        self.check_members(now)
        if now >= self.next_probe_at:
            self.next_probe_at = max(self.next_probe_at + self.config.probe_period, now)
            self.probe(now)
        if now >= self.next_reconnect_at:
            period = self.config.reconnect_period if self.joined else self.config.probe_period
            self.next_reconnect_at = now + period
            self.reconnect()
        return self.outgoing

    def check_members(self, now):
        """End suspicions that were not refuted, and forget members that departed long ago.

        Args:
            now: The time, ns.
        """
        for member in self.members.not_alive_in_order():
            if member.suspicion_deadline is not None and now >= member.suspicion_deadline:
                self.on_suspicion_timeout(now, member)
            elif member.state in (DEAD, LEFT) and now - member.state_since > self.config.departed_retention:
                self.members.remove(member.name)

    def detect_pause(self, now):
        """Notice that this process stood still (stopped, or without a processor).

        Guards against blaming others for answers that this process could not take: it would show as all
        others being suspect, or dead, when it goes on. Probes are dropped, and suspicions go on for as long
        as it stood still.

        Args:
            now: The time, ns.
        """
        pause = now - self.last_run_at
        self.last_run_at = now
        if pause <= self.config.pause_threshold + self.config.probe_period:
            return
        self.health.degrade(self.config.max_health_score)
        self.probes.clear()
        self.last_heard_at += pause
        for member in self.members.not_alive.values():
            if member.suspicion_deadline is not None:
                member.suspicion_deadline += pause

    # ---- messages

    def receive(self, now, address, message):
        """Take a message.

        Args:
            now: The time, ns.
            address: Where it came from, for the counts of rejected ones. Answers go to the address that the
                sender states about itself.
            message: The Message.

        Returns:
            OutgoingMessages.
        """
        if self.ended:
            return []
        self.detect_pause(now)
        self.outgoing = []
        if self.accepts_header(address, message) and self.accepts_sender(now, address, message):
            self.apply_all(now, message.gossip)
            self.handle(now, message)
        return self.outgoing

    def accepts_header(self, address, message):
        """Return whether a message is for this cluster, version and incarnation; it is rejected if not.

        What is for another incarnation is a replay, or its sender does not know yet that this one is new:
        it learns that by a Ping.

        Args:
            address: Where it came from.
            message: The Message.
        """
        if message.cluster != self.cluster:
            self.reject(OTHER_CLUSTER, address)
            return False
        if message.version != VERSION:
            self.reject(OTHER_VERSION, address)
            return False
        if message.target_incarnation == self.local.incarnation:
            self.joined = True  # the sender knows this very incarnation
            return True
        if message.target_incarnation == 0:
            return True
        self.reject(FORMER_INCARNATION, address)
        sender = message.sender
        if sender.name != self.local.name:
            self.send(Recipient(sender.address, sender.incarnation, sender.name), Ping, self.next_sequence())
        return False

    def accepts_sender(self, now, address, message):
        """Return whether a message is of its sender's latest incarnation, or asks to join.

        A former one is a replay, or an older process of that name: that one learns of the younger by an Ack.

        Args:
            now: The time, ns.
            address: Where it came from.
            message: The Message.
        """
        sender = message.sender
        known = self.members.get(sender.name)
        if known is not None and sender.incarnation < known.statement.incarnation:
            self.reject(FORMER_INCARNATION, address)
            if isinstance(message, Join):
                return True
            recipient = Recipient(sender.address, sender.incarnation, "")
            self.send(recipient, Ack, message.sequence, gossip=[known.statement])
            return False
        if sender.name != self.local.name:
            self.apply(now, sender)
            self.last_heard_at = now
            self.members[sender.name].last_heard_at = now
        return True

    def reject(self, reason, address):
        """Count a message that is not taken, by reason and address.

        Guards against strangers that send from ever new ports, which would show as memory that grows: past
        so many addresses they share one count.

        Args:
            reason: Why, one of the constants above.
            address: Where it came from.
        """
        if (reason, address) not in self.rejected and len(self.rejected) >= MAX_REJECTED_ADDRESSES:
            address = OTHER_ADDRESSES
        self.rejected[reason, address] += 1

    # ---- leaving

    def leave(self, now):
        """Tell some members that this one leaves. The process may end once the messages are sent.

        Args:
            now: The time, ns.

        Returns:
            OutgoingMessages.
        """
        self.outgoing = []
        self.local = self.local.with_state(LEFT, self.local.name)
        self.gossip.put(self.local)
        names = sorted(self.active_names())
        for name in self.rng.sample(names, min(2 * self.config.indirect_probes, len(names))):
            self.send_to_member(self.members[name], Ping, self.next_sequence())
        self.ended = "left"
        return self.outgoing

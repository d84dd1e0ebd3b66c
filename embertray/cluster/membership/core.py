"""The failure detector's state machine: its input is time and messages, its output messages and events."""

from .handlers import MessageHandlers
from .member import DEAD, LEFT
from .messages import VERSION, Ack, Join, Ping
from .outbox import Recipient

MAX_REJECTED_ADDRESSES = 2048  # (reason, address) pairs that are counted separately

# Reasons for rejecting a message, as the status shows them.
OTHER_CLUSTER = "cluster"
OTHER_VERSION = "version"
FORMER_INCARNATION = "former life"
OTHER_ADDRESSES = "others"  # stands for all addresses beyond MAX_REJECTED_ADDRESSES


class Membership(MessageHandlers):
    """The failure detector of one member (for arguments and attributes see MembershipState).

    The caller passes received messages to `receive` and the time to `advance`, no later than `next_at`. Both
    return OutgoingMessages; `events` collects MemberChanged, and `ended` is set to a reason when this process
    has to end.
    """

    # ---- time

    def next_at(self):
        """Return the latest time at which `advance` has to be called, ns."""
        times = [self.next_probe_at, self.next_reconnect_at]
        times += [probe.next_at for probe in self.probes.values()]
        times += self.members.suspicion_deadlines()
        return min(times)

    def advance(self, now):
        """Run the timers that are due.

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
        """Handle suspicions that timed out, and remove members that departed `departed_retention` ago.

        Args:
            now: The time, ns.
        """
        for member in self.members.not_alive_in_order():
            if member.suspicion_deadline is not None and now >= member.suspicion_deadline:
                self.on_suspicion_timeout(now, member)
            elif member.state in (DEAD, LEFT) and now - member.state_since > self.config.departed_retention:
                self.members.remove(member.name)

    def detect_pause(self, now):
        """Detect that this process was paused (stopped, or not scheduled), and compensate for the pause.

        Acknowledgements that arrived during a pause were not processed, so without this check all other
        members would become suspect or dead when the process resumes. Probes in flight are dropped, and
        suspicion deadlines are moved by the length of the pause.

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
        """Handle a received message.

        Args:
            now: The time, ns.
            address: The source address; only used to count rejected messages. Replies go to the address in
                the message's `sender`.
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
        """Return whether a message is for this cluster, protocol version and incarnation; reject it if not.

        A message for another incarnation is a replay, or its sender does not know this incarnation yet: a
        Ping informs it.

        Args:
            address: The source address.
            message: The Message.
        """
        if message.cluster != self.cluster:
            self.reject(OTHER_CLUSTER, address)
            return False
        if message.version != VERSION:
            self.reject(OTHER_VERSION, address)
            return False
        if message.target_incarnation == self.local.incarnation:
            self.joined = True  # the sender knows this incarnation
            return True
        if message.target_incarnation == 0:
            return True
        self.reject(FORMER_INCARNATION, address)
        sender = message.sender
        if sender.name != self.local.name:
            self.send(Recipient(sender.address, sender.incarnation, sender.name), Ping, self.next_sequence())
        return False

    def accepts_sender(self, now, address, message):
        """Return whether a message is from its sender's latest known incarnation, or is a Join.

        A message from a former incarnation is a replay, or comes from an older process of that name: the Ack
        informs that process of the newer one.

        Args:
            now: The time, ns.
            address: The source address.
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
        """Count a rejected message by reason and address.

        Beyond MAX_REJECTED_ADDRESSES all addresses share one count, so that messages from ever new ports
        cannot make the counter grow without bound.

        Args:
            reason: One of the reasons above.
            address: The source address.
        """
        if (reason, address) not in self.rejected and len(self.rejected) >= MAX_REJECTED_ADDRESSES:
            address = OTHER_ADDRESSES
        self.rejected[reason, address] += 1

    # ---- leaving

    def leave(self, now):
        """Announce to some members that this one leaves. The process may end once the messages are sent.

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

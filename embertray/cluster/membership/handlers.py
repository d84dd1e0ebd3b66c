"""Handlers of the messages that passed the checks of `Membership`."""

from .member import ALIVE, Statement
from .messages import Ack, FullState, Join, Nack, Ping, PingRequest
from .outbox import Recipient
from .reconnector import Reconnector

FULL_STATE_STATEMENTS = 12  # statements in one FullState; they fit into one datagram


class MessageHandlers(Reconnector):
    """One handler for each message class."""

    def handle(self, now, message):
        """Call the handler of a message.

        Args:
            now: The time, ns.
            message: The Message.

        Raises:
            TypeError: There is no handler for its class.
        """
        match message:
            case Ping():
                self.reply(message, Ack)
            case Ack():
                self.on_ack(message)
            case PingRequest():
                self.on_ping_request(now, message)
            case Nack():
                self.on_nack(message)
            case Join():
                self.on_join(message)
            case FullState():
                self.on_full_state(now, message)
            case _:
                raise TypeError(f"no handler for {type(message).__name__}")

    def on_ack(self, message):
        """End the acknowledged probe.

        A probe of this member's own improves its local health; for a probe that was made on behalf of another
        member, that member is sent an Ack.

        Args:
            message: The Ack.
        """
        probe = self.probes.pop(message.sequence, None)
        if probe is None:
            return
        if not probe.requester:
            self.health.improve()
        elif probe.requester in self.members:
            self.send_to_member(self.members[probe.requester], Ack, probe.requester_sequence)

    def on_ping_request(self, now, message):
        """Probe a member on behalf of the sender, and confirm by a Nack that the request has arrived.

        Args:
            now: The time, ns.
            message: The PingRequest.
        """
        target = message.target
        member = self.members.get(target.name)
        if member is None or member.statement.incarnation != target.incarnation:
            self.apply(now, target)
            member = self.members.get(target.name)
        if member is not None:
            self.probe_for(now, member, message.sender.name, message.sequence)
        self.reply(message, Nack)

    def on_nack(self, message):
        """Record that a member has received the request for an indirect probe.

        Args:
            message: The Nack.
        """
        probe = self.probes.get(message.sequence)
        if probe is not None:
            probe.nacks_due = max(0, probe.nacks_due - 1)

    def on_join(self, message):
        """Send the full state, in as many messages as necessary.

        Args:
            message: The Join.
        """
        sender = message.sender
        known = self.members.get(sender.name)
        remembered_incarnation = known.statement.incarnation if known is not None else 0
        statements = [self.local, *(member.statement for member in self.members.values())]
        for start in range(0, len(statements), FULL_STATE_STATEMENTS):
            self.send(
                Recipient(sender.address, 0, ""),
                FullState,
                message.sequence,
                gossip=statements[start : start + FULL_STATE_STATEMENTS],
                remembered_incarnation=remembered_incarnation,
            )

    def on_full_state(self, now, message):
        """Record that this member has joined, and make sure that its incarnation is the latest of its name.

        If the wall clock is behind the incarnation of a former process of this name, peers would reject all
        messages of this one. It therefore takes the incarnation that follows the one they remember. If it has
        joined already, the later incarnation belongs to a newer process of this name, and this one ends.

        Args:
            now: The time, ns.
            message: The FullState; its statements are already applied.
        """
        if message.remembered_incarnation > self.local.incarnation:
            if self.joined:
                self.end(f"a younger process has the name {self.local.name}")
                return
            incarnation = message.remembered_incarnation + 1
            self.local = Statement(self.local.name, self.local.address, incarnation, 0, ALIVE)
        if not self.joined:
            self.joined = True
            self.gossip.put(self.local)
        if message.sender.name in self.members:
            self.members[message.sender.name].last_heard_at = now

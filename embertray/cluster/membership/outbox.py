"""Messages on their way out, and the gossip that goes along with each."""

from typing import NamedTuple

from .events import OutgoingMessage
from .member import ALIVE
from .messages import VERSION
from .state import MembershipState


class Recipient(NamedTuple):
    """To whom a message goes.

    Attributes:
        address: Its address, as host:port.
        incarnation: The incarnation that the message is meant for; 0 for whichever is there.
        name: Its name; "" if it is not known.
    """

    address: str
    incarnation: int
    name: str


class Outbox(MembershipState):
    """Composes messages. They are collected in `outgoing`, which each step begins anew."""

    def next_sequence(self):
        """Return a sequence number that was not used before."""
        self.last_sequence += 1
        return self.last_sequence

    def send(self, recipient, message_type, sequence, gossip=None, **fields):
        """Send a message.

        Args:
            recipient: The Recipient.
            message_type: Class of the message.
            sequence: Its sequence number.
            gossip: Statements to pass on; None for those that are due.
            **fields: What messages of this class have beside the header.
        """
        if gossip is None:
            gossip = self.due_gossip(recipient.name)
        message = message_type(
            self.cluster, VERSION, self.local, recipient.incarnation, sequence, gossip, **fields
        )
        self.outgoing.append(OutgoingMessage(recipient.address, message))

    def send_to_member(self, member, message_type, sequence, **fields):
        """Send a message to a member, as it is known here.

        Args:
            member: The Member.
            message_type: Class of the message.
            sequence: Its sequence number.
            **fields: As for `send`.
        """
        recipient = Recipient(member.address, member.statement.incarnation, member.name)
        self.send(recipient, message_type, sequence, **fields)

    def reply(self, message, message_type):
        """Answer a message under its sequence number.

        Args:
            message: The message that is answered.
            message_type: Class of the answer.
        """
        sender = message.sender
        self.send(Recipient(sender.address, sender.incarnation, sender.name), message_type, message.sequence)

    def due_gossip(self, receiver):
        """Return the statements that go along with a message.

        A statement that the receiver is not alive always goes along, so that it can refute it at once.

        Args:
            receiver: Name of the receiver; "" if it is not known.
        """
        transmissions = self.config.retransmissions(self.members.active_count + 1)
        gossip = self.gossip.pick(self.config.gossip_bytes, transmissions, receiver)
        member = self.members.get(receiver)
        if member is None or member.state == ALIVE:
            return gossip
        if all(statement.name != receiver for statement in gossip):
            gossip.append(member.statement)
        return gossip

"""Outgoing messages with their piggybacked gossip."""

from typing import NamedTuple

from .events import OutgoingMessage
from .member import ALIVE
from .messages import VERSION
from .state import MembershipState


class Recipient(NamedTuple):
    """The destination of a message.

    Attributes:
        address: The address, host:port.
        incarnation: The receiver's incarnation that the message is for; 0 for any.
        name: The receiver's name; "" if it is not known.
    """

    address: str
    incarnation: int
    name: str


class Outbox(MembershipState):
    """Builds messages. They are collected in `outgoing`, which each step starts empty."""

    def next_sequence(self):
        """Return a new sequence number."""
        self.last_sequence += 1
        return self.last_sequence

    def send(self, recipient, message_type, sequence, gossip=None, **fields):
        """Send a message.

        Args:
            recipient: The Recipient.
            message_type: Class of the message.
            sequence: Its sequence number.
            gossip: Statements to piggyback; None for those that are due.
            **fields: Fields of this class in addition to the header.
        """
        if gossip is None:
            gossip = self.due_gossip(recipient.name)
        message = message_type(
            self.cluster, VERSION, self.local, recipient.incarnation, sequence, gossip, **fields
        )
        self.outgoing.append(OutgoingMessage(recipient.address, message))

    def send_to_member(self, member, message_type, sequence, **fields):
        """Send a message to a known member, at its current address and incarnation.

        Args:
            member: The Member.
            message_type: Class of the message.
            sequence: Its sequence number.
            **fields: As for `send`.
        """
        recipient = Recipient(member.address, member.statement.incarnation, member.name)
        self.send(recipient, message_type, sequence, **fields)

    def reply(self, message, message_type):
        """Send a reply with the sequence number of the message that it answers.

        Args:
            message: The message that is answered.
            message_type: Class of the reply.
        """
        sender = message.sender
        self.send(Recipient(sender.address, sender.incarnation, sender.name), message_type, message.sequence)

    def due_gossip(self, receiver):
        """Return the statements to piggyback on a message.

        If the receiver is not considered alive, the statement that says so is always included, so that the
        receiver can refute it at once.

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

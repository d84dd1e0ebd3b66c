"""What the state machine hands out: messages to send, and changes of members."""

from typing import NamedTuple

from .member import MemberState
from .messages import Message


class OutgoingMessage(NamedTuple):
    """A message to send.

    Attributes:
        address: Where to, as host:port.
        message: The message.
    """

    address: str
    message: Message


class MemberChanged(NamedTuple):
    """A member's state or incarnation has changed, in this member's view.

    Attributes:
        name: The member.
        state: Its state from now on.
        address: Its address, as host:port.
    """

    name: str
    state: MemberState
    address: str

"""Output of the state machine: messages to send, and changes of members."""

from typing import NamedTuple

from .member import MemberState
from .messages import Message


class OutgoingMessage(NamedTuple):
    """A message to send.

    Attributes:
        address: Destination, host:port.
        message: The Message.
    """

    address: str
    message: Message


class MemberChanged(NamedTuple):
    """A member's state or incarnation has changed, in this member's view.

    Attributes:
        name: Name of the member.
        state: Its new state.
        address: Its address, host:port.
    """

    name: str
    state: MemberState
    address: str

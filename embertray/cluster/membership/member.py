"""Members, and the statements that members exchange about each other."""

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

MAX_NAME_CHARACTERS = 128

Count = Annotated[int, Meta(ge=0)]
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
STATE_LABELS = ("alive", "suspect", "dead", "left")  # indexed by MemberState


class MemberState(IntEnum):
    """State of a member, a number on the wire.

    Of two statements with the same incarnation and refutations the one with the higher state prevails.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @property
    def label(self):
        """The state's name in the status and in log lines."""
        return STATE_LABELS[self]


# Module-level aliases, because the handling of every message uses the states.
ALIVE = MemberState.ALIVE
SUSPECT = MemberState.SUSPECT
DEAD = MemberState.DEAD
LEFT = MemberState.LEFT


class Statement(msgspec.Struct, array_like=True, frozen=True):
    """A statement about a member's state. The field order is the order on the wire.

    Attributes:
        name: Name of the member that it is about.
        address: That member's address, host:port.
        incarnation: That member's incarnation: its wall clock at start, ns, or one more than the latest
            incarnation that its peers remember.
        refutations: How often that member has refuted a suspicion or death in this incarnation.
        state: Its state.
        reported_by: Name of the member that reported it; "" if the member itself did. Each reporter counts
            once as a confirmation of a suspicion.
    """

    name: Name
    address: Name
    incarnation: Count
    refutations: Count
    state: MemberState
    reported_by: str = ""

    @property
    def rank(self):
        """The statement's precedence: of those about a member the one with the highest rank prevails.

        Members therefore agree in whatever order statements arrive. The rank compares the incarnation, then
        the refutations, then the state; LEFT outranks all refutations, so it is final for its incarnation.
        """
        return (self.incarnation, self.state == LEFT, self.refutations, self.state)

    def subsumes(self, other):
        """Return whether another statement about the same member adds no information to this one.

        A suspicion always adds information: the member that reported it.

        Args:
            other: The other Statement.
        """
        return self.state != SUSPECT and (
            self is other
            or (
                self.incarnation == other.incarnation
                and self.refutations == other.refutations
                and self.state == other.state
            )
        )

    def with_state(self, state, reported_by):
        """Return a copy of this statement with another state.

        Args:
            state: The MemberState.
            reported_by: Name of the member that reports it.
        """
        return Statement(self.name, self.address, self.incarnation, self.refutations, state, reported_by)


class Member:
    """This member's view of another member.

    Attributes:
        statement: The Statement that prevails.
        state_since: When it entered its state, ns.
        last_heard_at: When the last message from it arrived, ns.
        suspected_by: Names of the members that suspect it.
        suspicion_deadline: When an unrefuted suspicion turns into death, ns; None if there is no timeout.
        reported_death: Another member's Statement that it is dead, while this member verifies it by a probe;
            else None.
        position: Its place in the order in which members were added.
    """

    __slots__ = (
        "statement",
        "state_since",
        "last_heard_at",
        "suspected_by",
        "suspicion_deadline",
        "reported_death",
        "position",
    )

    def __init__(self, statement, now):
        """Create the member from the first statement about it.

        Args:
            statement: The Statement.
            now: The time, ns.
        """
        self.statement = statement
        self.last_heard_at = now
        self.position = 0
        self.enter_state(now)

    def enter_state(self, now):
        """Reset the suspicion data, because the member's state or incarnation has changed.

        Args:
            now: The time, ns.
        """
        self.state_since = now
        self.suspected_by = set()
        self.suspicion_deadline = None
        self.reported_death = None

    @property
    def name(self):
        """Its name."""
        return self.statement.name

    @property
    def address(self):
        """Its address, host:port."""
        return self.statement.address

    @property
    def state(self):
        """Its MemberState."""
        return self.statement.state

    @property
    def active(self):
        """Whether it is considered running: alive or suspect."""
        return self.statement.state in (ALIVE, SUSPECT)

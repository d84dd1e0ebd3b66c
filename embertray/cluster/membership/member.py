"""Members, and the statements that are made about them."""

from enum import IntEnum
from typing import Annotated

import msgspec
from msgspec import Meta

MAX_NAME_CHARACTERS = 128

Count = Annotated[int, Meta(ge=0)]
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
STATE_LABELS = ("alive", "suspect", "dead", "left")  # by the number of the state


class MemberState(IntEnum):
    """State of a member; on the wire a number. Of one incarnation and refutation the higher holds."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @property
    def label(self):
        """The state as operators read it in the status and in log lines."""
        return STATE_LABELS[self]


# The states by themselves, as every message asks for them.
ALIVE = MemberState.ALIVE
SUSPECT = MemberState.SUSPECT
DEAD = MemberState.DEAD
LEFT = MemberState.LEFT


class Statement(msgspec.Struct, array_like=True, frozen=True):
    """What a member says about a member. Field order is the wire's.

    Attributes:
        name: The member that it is about.
        address: That member's address, as host:port.
        incarnation: That member's incarnation: ns by its wall clock when it began, or one more than the
            latest that its peers remember.
        refutations: How often that member has refuted a suspicion or death in this incarnation.
        state: Its state.
        reported_by: Who says so; "" if the member does itself. A suspicion counts once for each.
    """

    name: Name
    address: Name
    incarnation: Count
    refutations: Count
    state: MemberState
    reported_by: str = ""

    @property
    def rank(self):
        """Of two statements about a member the one of higher rank holds, at every member, in any order.

        The later incarnation comes first, then the later refutation, then the worse state. A member that has
        left stays so until its next incarnation.
        """
        return (self.incarnation, self.state == LEFT, self.refutations, self.state)

    def subsumes(self, other):
        """Return whether another statement about the same member adds nothing to this one.

        A suspicion always adds who suspects.

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
        """Return the statement that the member, as it is stated here, is in another state.

        Args:
            state: The MemberState.
            reported_by: Who says so.
        """
        return Statement(self.name, self.address, self.incarnation, self.refutations, state, reported_by)


class Member:
    """Another member as it is known here.

    Attributes:
        statement: The Statement that holds.
        state_since: When its state was taken, ns.
        last_heard_at: When something last came from it, ns.
        suspected_by: Names of the members that suspect it.
        suspicion_deadline: When its suspicion ends in death, ns; None if it does not by time alone.
        reported_death: Another member's Statement that it is dead, while this one probes it; else None.
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
        """Begin with a first statement.

        Args:
            statement: The Statement.
            now: The time, ns.
        """
        self.statement = statement
        self.last_heard_at = now
        self.position = 0
        self.enter_state(now)

    def enter_state(self, now):
        """Note that its state or incarnation is a new one, which nobody has suspected yet.

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
        """Its address, as host:port."""
        return self.statement.address

    @property
    def state(self):
        """Its MemberState."""
        return self.statement.state

    @property
    def active(self):
        """Whether it is taken to be running: alive or suspect."""
        return self.statement.state in (ALIVE, SUSPECT)

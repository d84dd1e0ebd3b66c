"""What is stated of a member, and which of two statements holds."""

from typing import Annotated

import msgspec
from msgspec import Meta

Count = Annotated[int, Meta(ge=0)]
Name = Annotated[str, Meta(min_length=1, max_length=128)]
ALIVE, SUSPECT, DEAD, LEFT = range(4)
WORDS = ("alive", "suspect", "dead", "left")


class Statement(msgspec.Struct, array_like=True, frozen=True):
    """`life`: ns by the member's own clock when it began, raised where peers remember a later one; `turn`:
    raised by the member itself to deny what was said of it. `by`: who says so (a suspicion counts once for
    each)."""

    name: Name
    address: Name
    incarnation: Count
    refutations: Count
    state: Annotated[int, Meta(ge=0, le=3)]
    reported_by: str = ""

    @property
    def rank(self):
        """The later life holds, then the later turn, then the worse state: the same at every member, in any
        order. One that left stays so until its next life."""
        return (self.incarnation, self.state == LEFT, self.refutations, self.state)

    def repeats(self, other):
        """Whether `other`, of the same name, adds nothing to this one. A suspicion adds whose it is."""
        return self.state != SUSPECT and (
            self is other
            or (
                self.incarnation == other.incarnation
                and self.refutations == other.refutations
                and self.state == other.state
            )
        )


class Member:
    """One member as it is known here. `since`: when its state was taken, ns; `heard`: when something last
    came from it; `death`: another's statement that it is dead, while we look for ourselves;
    `position`: its place in the order in which members were added."""

    __slots__ = (
        "statement",
        "state_since",
        "last_heard_at",
        "suspected_by",
        "suspicion_ends_at",
        "reported_death",
        "position",
    )

    def __init__(self, statement, now):
        self.statement, self.state_since, self.last_heard_at = statement, now, now
        self.suspected_by, self.suspicion_ends_at, self.reported_death = set(), None, None
        self.position = 0

    name = property(lambda self: self.statement.name)
    address = property(lambda self: self.statement.address)
    state = property(lambda self: self.statement.state)

    @property
    def active(self):
        return self.statement.state in (ALIVE, SUSPECT)

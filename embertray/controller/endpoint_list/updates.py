"""The kinds of updates of the endpoint list, as the follower classifies the inventory's messages."""

from dataclasses import dataclass, field
from enum import StrEnum


class UpdateKind(StrEnum):
    """How an update relates to the current list; all values but GAP's are the policy's."""

    CHANGES = "changes"
    """The changed entries."""
    COMPLETE = "whole"
    """All entries; a backend without an entry is not listed."""
    CACHED = "cached"
    """The valid entries of a list from disk, at a start; the inventory never sends this."""
    FAILED = "failed"
    """The inventory could not answer."""
    GAP = "gap"
    """Changes based on another epoch than ours: not applied, the complete list has to be requested."""


@dataclass(frozen=True)
class ListUpdate:
    """A classified message of the inventory.

    Attributes:
        kind: An UpdateKind.
        entries: EndpointEntry items; none after a failure or a gap.
        epoch: Version of the list; 0 after a failure.
        inventory_clock: The inventory's clock when it sent the message, ns; 0 after a failure.
    """

    kind: UpdateKind
    entries: list = field(default_factory=list)
    epoch: int = 0
    inventory_clock: int = 0

"""What a message from the inventory means for the controller that follows the list."""

from dataclasses import dataclass, field
from enum import StrEnum


class UpdateKind(StrEnum):
    """How an update stands to the list so far; the values are the policy's words for it."""

    CHANGES = "changes"
    """Entries that changed."""
    COMPLETE = "whole"
    """All entries: who is not among them is not listed."""
    CACHED = "cached"
    """All entries that count of a list from disk, at a start; no message of the inventory is one."""
    FAILED = "failed"
    """The inventory could not answer."""
    GAP = "gap"
    """Changes on top of an epoch other than ours: not applied, the complete list is to be requested."""


@dataclass(frozen=True)
class ListUpdate:
    """One message of the inventory, judged.

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

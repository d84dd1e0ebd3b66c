"""The memory account of one purpose: its usage compared with its cap."""

from dataclasses import dataclass, field

from .purposes import ACTIONS
from .sizing import container_bytes, measure_entry_bytes

MEAN_EVALUATIONS = 60  # time constant of the moving mean, in evaluations

RELEASE_SHARE = 0.9  # of the cap: an action ends below it (hysteresis)
NOTICE_SHARE = 0.8  # of the cap: operators are notified once it is reached,
NOTICE_RESET_SHARE = 0.7  # and again only after usage was below this

# Texts of notices. Operators' alerts may match them.
AT_CAP_TEXT = "at its cap"
BELOW_CAP_TEXT = "below its cap again"
NEAR_CAP_TEXT = "past four fifths of its cap"


@dataclass
class Account:
    """The account of one purpose.

    Attributes:
        purpose: Name of the purpose.
        cap: Bytes.
        entries: Number of entries in all its collections.
        bytes: Their size.
        peak: Maximum of `bytes`.
        mean_bytes: Moving mean of `bytes`.
        evaluations_at_cap: Number of evaluations at which the cap was in force.
        action_count: Number of actions taken at the cap: lines dropped, joins rejected, streams cut.
        at_cap: Whether the cap is in force.
        near_cap: Whether operators were notified that the cap is near.
        bytes_per_entry: Name of a collection -> mean bytes per entry.
    """

    purpose: str
    cap: int
    entries: int = 0
    bytes: int = 0
    peak: int = 0
    mean_bytes: float = 0.0
    evaluations_at_cap: int = 0
    action_count: int = 0
    at_cap: bool = False
    near_cap: bool = False
    bytes_per_entry: dict = field(default_factory=dict)

    @property
    def action(self):
        """The action taken at the cap."""
        return ACTIONS[self.purpose]

    def update(self, collections, measure):
        """Updates entries and sizes from the collections of the purpose.

        Args:
            collections: The Collections of the purpose.
            measure: Whether to measure the bytes per entry of all of them again; a collection without a
                measurement is always measured once it has entries.
        """
        entries = 0
        total = 0.0
        for collection in collections:
            if measure or collection.count and not self.bytes_per_entry.get(collection.name):
                self.bytes_per_entry[collection.name] = measure_entry_bytes(collection)
            entry_bytes = self.bytes_per_entry.get(collection.name, 0.0)
            entries += collection.count
            total += collection.count * entry_bytes + container_bytes(collection)
        self.entries = entries
        self.bytes = int(total)
        self.peak = max(self.peak, self.bytes)
        if self.mean_bytes:
            self.mean_bytes += (self.bytes - self.mean_bytes) / MEAN_EVALUATIONS
        else:
            self.mean_bytes += self.bytes

    def compare_with_cap(self):
        """Puts the cap in force or releases it.

        Returns:
            The texts of the notices for operators.
        """
        texts = []
        share = self.bytes / self.cap
        if not self.at_cap and share >= 1:
            self.at_cap = True
            texts.append(AT_CAP_TEXT)
        elif self.at_cap and share < RELEASE_SHARE:
            self.at_cap = False
            texts.append(BELOW_CAP_TEXT)
        if not self.near_cap and share >= NOTICE_SHARE:
            self.near_cap = True
            if not self.at_cap:
                texts.append(NEAR_CAP_TEXT)
        elif self.near_cap and share < NOTICE_RESET_SHARE:
            self.near_cap = False
        return texts

    def row(self):
        """Returns the account as a JSON object, for operators and metrics."""
        return {
            "purpose": self.purpose,
            "entries": self.entries,
            "bytes": self.bytes,
            "usual": int(self.mean_bytes),
            "peak": self.peak,
            "cap": self.cap,
            "action": self.action,
            "acting": self.at_cap,
            "acts": self.evaluations_at_cap,
            "done": self.action_count,
        }

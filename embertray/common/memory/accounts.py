"""The accounts: for each purpose what it holds, its peak, its cap, what was done at the cap and how often; no
I/O.

Each `look` counts entries (cheap) and weighs the collections of one purpose in turn (an exact walk over a
sample), so that bytes an entry takes are never older than one round over the purposes.
"""

from dataclasses import dataclass, field

from .caps import (
    ACTIONS,
    JOIN_DELAY_JITTER_NS,
    JOIN_DELAY_NS,
    NOTICE_RESET_SHARE,
    NOTICE_SHARE,
    RELEASE_SHARE,
    CapInstruction,
)
from .sizing import container_bytes, measure_entry_bytes

S = 10**9
# -- constants: value, unit, reason
EVALUATION_PERIOD_NS = S  # ns between looks: nothing here grows by a cap's tenth in a second
WEIGHING_ROUND_NS = 16 * S  # ns in which every purpose is weighed once
USUAL_SIZE_EVALUATIONS = (
    60  # looks that the usual size is a mean over, the newest the heaviest: what waits comes and goes
)


@dataclass
class Account:
    purpose: str
    cap: int
    entries: int = 0
    bytes: int = 0
    peak: int = 0
    usual: float = 0.0
    evaluations_at_cap: int = 0  # looks at which the cap acted
    action_count: int = 0  # what was done then: lines dropped, joins turned away, streams cut, ...
    at_cap: bool = False
    near_cap: bool = False
    bytes_per_entry: dict = field(default_factory=dict)  # collection -> bytes an entry

    @property
    def action(self):
        return ACTIONS[self.purpose]

    def charge(self, collections, weighing):
        """Counts the collections; `weighing`: also looks how many bytes an entry takes."""
        entries = total = 0
        for collection in collections:
            if weighing or collection.count and not self.bytes_per_entry.get(collection.name):
                self.bytes_per_entry[collection.name] = measure_entry_bytes(collection)
            entries += collection.count
            total += collection.count * self.bytes_per_entry.get(collection.name, 0.0) + container_bytes(
                collection
            )
        self.entries, self.bytes = entries, int(total)
        self.peak = max(self.peak, self.bytes)
        self.usual += (self.bytes - self.usual) / USUAL_SIZE_EVALUATIONS if self.usual else self.bytes


class MemoryAccounts:
    """`caps`: purpose -> bytes; `chance` gives numbers from 0 to 1."""

    def __init__(self, caps, chance):
        self.by_purpose = {purpose: Account(purpose, cap) for purpose, cap in caps.items()}
        self.chance, self.next_look, self.turn, self.notices = chance, 0, 0, []

    def evaluate(self, now, collections):
        """`collections()`: purpose -> list of Collection. Verdicts of the purposes whose caps act now;
        `notices` gets a line for each that passes NOTICE_SHARE of its cap, reaches it, or is below again.
        """
        if now < self.next_look:
            return []
        self.next_look, found, verdicts = now + EVALUATION_PERIOD_NS, collections(), []
        order = list(self.by_purpose)
        due = max(1, round(len(order) * EVALUATION_PERIOD_NS / WEIGHING_ROUND_NS))
        weighed = {order[(self.turn + n) % len(order)] for n in range(due)}
        self.turn = (self.turn + due) % len(order)
        for purpose, account in self.by_purpose.items():
            account.charge(found.get(purpose, []), purpose in weighed)
            self.judge(account)
            if account.at_cap:
                account.evaluations_at_cap += 1
                verdicts.append(
                    CapInstruction(purpose, account.action, account.bytes - int(RELEASE_SHARE * account.cap))
                )
        return verdicts

    def judge(self, account):
        part = account.bytes / account.cap
        if not account.at_cap and part >= 1:
            account.at_cap = True
            self.say(account, "at its cap")
        elif account.at_cap and part < RELEASE_SHARE:
            account.at_cap = False
            self.say(account, "below its cap again")
        if not account.near_cap and part >= NOTICE_SHARE:
            account.near_cap = True
            if not account.at_cap:
                self.say(account, "past four fifths of its cap")
        elif account.near_cap and part < NOTICE_RESET_SHARE:
            account.near_cap = False

    def say(self, account, text):
        self.notices.append((account.purpose, text, account.bytes, account.cap, account.action))

    def any_at_cap(self, *purposes):
        return any(self.by_purpose[purpose].at_cap for purpose in purposes)

    def reject_join(self):
        """ns that a proxy is asked to stay away, or None when joins are taken. By chance, so that those
        turned away together do not come back together."""
        for purpose in ("streams", "names"):
            if self.by_purpose[purpose].at_cap:
                self.by_purpose[purpose].action_count += 1
                return JOIN_DELAY_NS + int(JOIN_DELAY_JITTER_NS * self.chance())
        return None

    def rows(self):
        """Rows for people and metrics."""
        return [
            {
                "purpose": a.purpose,
                "entries": a.entries,
                "bytes": a.bytes,
                "usual": int(a.usual),
                "peak": a.peak,
                "cap": a.cap,
                "action": a.action,
                "acting": a.at_cap,
                "acts": a.evaluations_at_cap,
                "done": a.action_count,
            }
            for a in self.by_purpose.values()
        ]

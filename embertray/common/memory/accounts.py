"""The accounts: for each purpose what it holds, its peak, its cap, what was done at the cap and how often; no
I/O.

Each `look` counts entries (cheap) and weighs the collections of one purpose in turn (an exact walk over a
sample), so that bytes an entry takes are never older than one round over the purposes.
"""

from dataclasses import dataclass, field

from .caps import ACTIONS, JITTER, LEAVE, NOTICE, QUIET, WAIT, Verdict
from .sizes import container_bytes, weigh

S = 10**9
# -- constants: value, unit, reason
LOOK = S  # ns between looks: nothing here grows by a cap's tenth in a second
FULL = 16 * S  # ns in which every purpose is weighed once
USUAL = 60  # looks that the usual size is a mean over, the newest the heaviest: what waits comes and goes


@dataclass
class Account:
    purpose: str
    cap: int
    entries: int = 0
    bytes: int = 0
    peak: int = 0
    usual: float = 0.0
    acts: int = 0  # looks at which the cap acted
    done: int = 0  # what was done then: lines dropped, joins turned away, streams cut, ...
    acting: bool = False
    near: bool = False
    each: dict = field(default_factory=dict)  # collection -> bytes an entry

    @property
    def action(self):
        return ACTIONS[self.purpose]

    def charge(self, collections, weighing):
        """Counts the collections; `weighing`: also looks how many bytes an entry takes."""
        entries = total = 0
        for collection in collections:
            if weighing or collection.count and not self.each.get(collection.name):
                self.each[collection.name] = weigh(collection)
            entries += collection.count
            total += collection.count * self.each.get(collection.name, 0.0) + container_bytes(collection)
        self.entries, self.bytes = entries, int(total)
        self.peak = max(self.peak, self.bytes)
        self.usual += (self.bytes - self.usual) / USUAL if self.usual else self.bytes


class Accounts:
    """`caps`: purpose -> bytes; `chance` gives numbers from 0 to 1."""

    def __init__(self, caps, chance):
        self.by = {purpose: Account(purpose, cap) for purpose, cap in caps.items()}
        self.chance, self.next_look, self.turn, self.notices = chance, 0, 0, []

    def look(self, now, collections):
        """`collections()`: purpose -> list of Collection. Verdicts of the purposes whose caps act now;
        `notices` gets a line for each that passes NOTICE of its cap, reaches it, or is below again.
        """
        if now < self.next_look:
            return []
        self.next_look, found, verdicts = now + LOOK, collections(), []
        order = list(self.by)
        due = max(1, round(len(order) * LOOK / FULL))
        weighed = {order[(self.turn + n) % len(order)] for n in range(due)}
        self.turn = (self.turn + due) % len(order)
        for purpose, account in self.by.items():
            account.charge(found.get(purpose, []), purpose in weighed)
            self.judge(account)
            if account.acting:
                account.acts += 1
                verdicts.append(Verdict(purpose, account.action, account.bytes - int(LEAVE * account.cap)))
        return verdicts

    def judge(self, account):
        part = account.bytes / account.cap
        if not account.acting and part >= 1:
            account.acting = True
            self.say(account, "at its cap")
        elif account.acting and part < LEAVE:
            account.acting = False
            self.say(account, "below its cap again")
        if not account.near and part >= NOTICE:
            account.near = True
            if not account.acting:
                self.say(account, "past four fifths of its cap")
        elif account.near and part < QUIET:
            account.near = False

    def say(self, account, text):
        self.notices.append((account.purpose, text, account.bytes, account.cap, account.action))

    def acting(self, *purposes):
        return any(self.by[purpose].acting for purpose in purposes)

    def turn_away(self):
        """ns that a proxy is asked to stay away, or None when joins are taken. By chance, so that those
        turned away together do not come back together."""
        for purpose in ("streams", "names"):
            if self.by[purpose].acting:
                self.by[purpose].done += 1
                return WAIT + int(JITTER * self.chance())
        return None

    def table(self):
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
                "acting": a.acting,
                "acts": a.acts,
                "done": a.done,
            }
            for a in self.by.values()
        ]

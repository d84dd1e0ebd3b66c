"""The ladder of named levels; decisions, no I/O.

A level is entered when the lost share of credit (gauge.py) stands above its mark for some looks, and left
when it has stood under a lower mark for a whole minute: a load that swings round a mark changes the level
once. Levels are by credit, of all request kinds together, never by name. What each gives up costs no rule: a
level only tries less.
"""

from collections import namedtuple

from .loss_meter import LossMeter

S = 10**9
# -- constants: value, unit, reason
NAMES = ("normal", "brownout", "essential", "survival")
ENTER = (0.0, 0.05, 0.25, 0.55)  # lost share of credit: past chance; a quarter; more than half
LEAVE = (0.0, 0.025, 0.15, 0.40)  # well under the marks above: the module's own swing round a goal is a tenth
ENTER_EVALUATIONS = 3  # looks above a mark before a level is entered: one late report is no overload
CALM_PERIOD_NS = (
    60 * S
)  # ns under the mark before a level is left, and between two changes but for the highest level:
#                         at most one change a minute at a load that swings round a mark or between two
EVALUATION_PERIOD_NS = S  # ns between looks
WAIT = (
    0,
    1 * S,
    2 * S,
    4 * S,
)  # ns that a denied client is asked to stay away; some clients' time-outs at the most
AGAIN = (
    3,
    3,
    0,
    0,
)  # most further tries of a kind that is partly denied: the protocol's ways of trying again, 3 is any
GIVES_UP = ((), ("probes",), ("probes", "tries"), ("probes", "tries"))

LevelChange = namedtuple("LevelChange", "old new reason")


class DegradationLadder:
    """`look` is to be called each EVALUATION_PERIOD_NS; `level` is an index into NAMES."""

    def __init__(self, kinds, cycle, rated, now):
        self.loss_meter = LossMeter(kinds, cycle, rated)
        self.level, self.since, self.changes = 0, now, 0
        self.above, self.calm_from = [0] * len(NAMES), now
        self.pinned, self.forbidden, self.lost, self.look_at = None, set(), None, now + EVALUATION_PERIOD_NS

    # ---- operators

    def pin(self, name):
        """Holds a level until `release`. Raises ValueError for a name that there is not."""
        self.pinned = self.known(name)

    def release(self):
        self.pinned = None

    def forbid(self, name, forbidden=True):
        """A level that is not to be entered; the next milder one stands for it. `normal` can't be
        forbidden.
        """
        place = self.known(name)
        if not place:
            raise ValueError("normal can't be forbidden")
        (self.forbidden.add if forbidden else self.forbidden.discard)(place)

    @staticmethod
    def known(name):
        if name not in NAMES:
            raise ValueError(f"no level '{name}'; there are {', '.join(NAMES)}")
        return NAMES.index(name)

    # ---- looks

    def evaluate_if_due(self, now):
        """The LevelChange that a look brings, or None. Looks at most each EVALUATION_PERIOD_NS."""
        if now < self.look_at:
            return None
        self.look_at = now + EVALUATION_PERIOD_NS
        return self.look(now)

    def look(self, now):
        self.lost = self.loss_meter.lost_share(now)
        if self.pinned is not None:
            return self.go(now, self.pinned, "pinned by an operator")
        if self.lost is None:  # no news is no verdict: the level stands, and calm does not count
            self.calm_from = now
            return None
        for place in range(1, len(NAMES)):
            self.above[place] = self.above[place] + 1 if self.lost > ENTER[place] else 0
        wanted = max(
            place for place in range(len(NAMES)) if not place or self.above[place] >= ENTER_EVALUATIONS
        )
        if wanted > self.level and (
            not self.changes or now - self.since >= CALM_PERIOD_NS or wanted == len(NAMES) - 1
        ):
            return self.go(now, wanted, f"{self.lost:.0%} of the credit is lost")
        if self.lost >= LEAVE[self.level]:
            self.calm_from = now
        elif self.level and now - self.calm_from >= CALM_PERIOD_NS:
            return self.go(
                now,
                max(place for place in range(self.level) if not place or self.lost >= LEAVE[place]),
                f"{self.lost:.0%} of the credit is lost, for {CALM_PERIOD_NS // S} s",
            )
        if self.level in self.forbidden:
            return self.go(now, self.level, "forbidden by an operator")
        return None

    def go(self, now, place, why):
        """To that level, or the next milder one that is allowed."""
        while self.pinned is None and place in self.forbidden:
            place -= 1
        if place == self.level:
            return None
        change = LevelChange(NAMES[self.level], NAMES[place], why)
        self.level, self.since, self.calm_from = place, now, now
        self.changes += 1
        return change

    # ---- what it means

    @property
    def name(self):
        return NAMES[self.level]

    @property
    def retry_after(self):
        """ns that a denied client is asked to stay away."""
        return WAIT[self.level]

    @property
    def retry_limit(self):
        return AGAIN[self.level]

    def gives_up(self, what):
        return what in GIVES_UP[self.level]

    def status(self, now):
        """For operators."""
        return {
            "level": self.name,
            "for_s": round((now - self.since) / S, 1),
            "lost_credit": self.lost,
            "gives_up": list(GIVES_UP[self.level]),
            "wait_ms": self.retry_after // 10**6,
            "changes": self.changes,
            "pinned": None if self.pinned is None else NAMES[self.pinned],
            "forbidden": [NAMES[place] for place in sorted(self.forbidden)],
            "first_demand": {
                kind.external_id: None if d.first is None else round(d.first, 1)
                for kind, d in self.loss_meter.demand.items()
            },
        }

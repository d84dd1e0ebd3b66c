"""What a day gave, judged by what the sockets carried, and by what the processes of a cluster said of each
other.
"""

from dataclasses import dataclass

from .rules import RULES, RuleChecker


@dataclass
class Result:
    """What a day gave. `rules`: rule -> what broke it (empty: kept); `spread`: ns from the inventory's news
    of a drain or an end to each proxy's changed table."""

    day: str
    mode: str
    seed: int
    rules: dict
    credit: float
    by_kind: dict
    reqs: int
    spread: list
    wall: float
    events: list
    took: object  # HdrHistogram, us of done and late requests
    line: list  # credit earned of credit asked, by second
    claims: dict | None = (
        None  # with processes that form a cluster: days.claims by name, kept, broken or not met
    )
    wrong: dict | None = None  # what broke them
    used: dict | None = None  # with processes: what each one used (rig/watch.py)
    age: float = 0.0  # greatest age of what members told, of its bound

    @property
    def kept(self):
        return not any(self.rules.values()) and "broken" not in (self.claims or {}).values()

    def verdicts(self):
        return {name: "broken" if self.rules[name] else "kept" for name in RULES}

    def as_json(self):
        ranked = sorted(self.spread)

        def at(part):
            return round(ranked[min(len(ranked) - 1, int(part * len(ranked)))] / 1e6, 1) if ranked else None

        return {
            "day": self.day,
            "mode": self.mode,
            "seed": self.seed,
            "rules": self.verdicts(),
            "broken": {k: v for k, v in self.rules.items() if v},
            "credit": round(self.credit, 4),
            "credit_by_kind": {k: round(v, 4) for k, v in self.by_kind.items()},
            "reqs": self.reqs,
            "spread_ms": {"count": len(ranked), "p50": at(0.5), "p99": at(0.99), "max": at(1.0)},
            "took_ms": {
                f"p{part:g}": self.took.get_value_at_percentile(part) / 1000 for part in (50, 90, 99, 99.9)
            },
            "wall_s": round(self.wall, 2),
            **(
                {
                    "claims": self.claims,
                    "broken_claims": {k: v for k, v in self.wrong.items() if v},
                    "age_of_bound": round(self.age, 3),
                }
                if self.claims
                else {}
            ),
            **({"used": self.used} if self.used else {}),
        }


def judge(stage, mode, seed, wall):
    site, eyes = stage.site, stage.eyes
    standing = {proxy.name: proxy.first for proxy in stage.proxies}
    checker = RuleChecker(site, standing, eyes.events, stage.models)
    rules = checker.check()
    asked, got, by, reqs = 0.0, 0.0, {}, 0
    for kind, (came, done, late, _) in stage.outcomes().items():
        if came:
            earned = kind.credit * (done + late * site.late_credit[kind])
            by[kind.external_id] = earned / (kind.credit * came)
            asked, got, reqs = asked + kind.credit * came, got + earned, reqs + round(came)
    return Result(
        stage.day.name,
        mode,
        seed,
        rules,
        got / asked if asked else 0.0,
        dict(sorted(by.items())),
        reqs,
        checker.spread,
        wall,
        eyes.events,
        stage.took(),
        stage.line(),
        *of_cluster(stage.held),
    )


def of_cluster(held):
    """The last fields of a Result, where the controllers were processes."""
    claims = getattr(held, "claims", None)
    claimed = (claims.verdicts(), claims.broken) if claims else (None, None)
    return *claimed, getattr(held, "used", None), claims.worst if claims else 0.0

"""The result of a day, judged by what the sockets carried and by the statements of cluster members."""

from dataclasses import dataclass

from .rules import RULES, RuleChecker

PERCENTILES = (50, 90, 99, 99.9)


@dataclass
class Result:
    """The result of a day.

    Attributes:
        day: the day's name.
        mode: how it was played: virtual, sockets, processes, emulated or flows.
        seed: the seed of all draws.
        violations: rule -> descriptions of its violations; empty if it was kept.
        credit: share of the requested credit that was earned.
        credit_by_kind: the same for each request kind, by its external identifier.
        requests: number of requests.
        spread: ns from the inventory's notice of a drain or an end to each proxy's changed table.
        wall_s: elapsed real time, s.
        events: the Observer's events.
        latencies: HdrHistogram of the latencies of done and late requests, us.
        credit_by_second: share of the requested credit that was earned, by second; None without requests.
        claims: claim -> kept, broken or not met; None without processes that form a cluster.
        claim_violations: claim -> descriptions of its violations; None as above.
        process_usage: process -> its resource usage; None without processes.
        worst_age: maximum age of what members knew of each other, relative to its bound.
    """

    day: str
    mode: str
    seed: int
    violations: dict
    credit: float
    credit_by_kind: dict
    requests: int
    spread: list
    wall_s: float
    events: list
    latencies: object
    credit_by_second: list
    claims: dict | None = None
    claim_violations: dict | None = None
    process_usage: dict | None = None
    worst_age: float = 0.0

    @property
    def kept(self):
        """Whether all rules and claims were kept."""
        return not any(self.violations.values()) and "broken" not in (self.claims or {}).values()

    def verdicts(self):
        """Returns rule -> "kept" or "broken"."""
        return {name: "broken" if self.violations[name] else "kept" for name in RULES}

    def as_json(self):
        """Returns the result as `--json` prints it; other programs read its keys."""
        found = {
            "day": self.day,
            "mode": self.mode,
            "seed": self.seed,
            "rules": self.verdicts(),
            "broken": {rule: texts for rule, texts in self.violations.items() if texts},
            "credit": round(self.credit, 4),
            "credit_by_kind": {kind: round(credit, 4) for kind, credit in self.credit_by_kind.items()},
            "reqs": self.requests,
            "spread_ms": self._spread_ms(),
            "took_ms": {
                f"p{percent:g}": self.latencies.get_value_at_percentile(percent) / 1000
                for percent in PERCENTILES
            },
            "wall_s": round(self.wall_s, 2),
        }
        if self.claims:
            found["claims"] = self.claims
            found["broken_claims"] = {claim: texts for claim, texts in self.claim_violations.items() if texts}
            found["age_of_bound"] = round(self.worst_age, 3)
        if self.process_usage:
            found["used"] = self.process_usage
        return found

    def _spread_ms(self):
        """Returns count and percentiles of the spread, ms; percentiles of no values are None."""
        ranked = sorted(self.spread)

        def rank(part):
            if not ranked:
                return None
            return round(ranked[min(len(ranked) - 1, int(part * len(ranked)))] / 1e6, 1)

        return {"count": len(ranked), "p50": rank(0.5), "p99": rank(0.99), "max": rank(1.0)}


def judge(stage, mode, seed, wall_s):
    """Judges a played day.

    Args:
        stage: the Stage or DaySimulation on which it was played.
        mode: how it was played, as in Result.
        seed: the seed of all draws.
        wall_s: elapsed real time, s.

    Returns:
        The Result.
    """
    standing_tables = {proxy.name: proxy.initial_backends for proxy in stage.proxies}
    checker = RuleChecker(stage.site, standing_tables, stage.observer.events, stage.models)
    violations = checker.check()
    credit, credit_by_kind, requests = earned_credit(stage)
    return Result(
        day=stage.day.name,
        mode=mode,
        seed=seed,
        violations=violations,
        credit=credit,
        credit_by_kind=credit_by_kind,
        requests=requests,
        spread=checker.spread,
        wall_s=wall_s,
        events=stage.observer.events,
        latencies=stage.latency_histogram(),
        credit_by_second=stage.credit_by_second(),
        **cluster_fields(stage.controllers),
    )


def earned_credit(stage):
    """Sums up the credit that the requests of a day earned.

    Returns:
        (share of the requested credit that was earned, the same by external identifier of kinds, requests)
    """
    asked = 0.0
    earned = 0.0
    by_kind = {}
    requests = 0
    for kind, (came, done, late, _) in stage.outcome_counts().items():
        if not came:
            continue
        earned_by_kind = kind.credit * (done + late * stage.site.late_credit[kind])
        by_kind[kind.external_id] = earned_by_kind / (kind.credit * came)
        asked += kind.credit * came
        earned += earned_by_kind
        requests += round(came)
    return earned / asked if asked else 0.0, dict(sorted(by_kind.items())), requests


def cluster_fields(controllers):
    """Returns the fields of a Result that only controllers in processes of their own provide."""
    claims = getattr(controllers, "claims", None)
    fields = {"process_usage": getattr(controllers, "resource_usage", None)}
    if claims:
        fields["claims"] = claims.verdicts()
        fields["claim_violations"] = claims.broken
        fields["worst_age"] = claims.max_age_ratio
    return fields

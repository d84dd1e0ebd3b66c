"""Measures how a controller starts from its snapshot while discovery is down, under virtual time.

`python -m embertray.experiments.measure.start [WORKERS]` prints a Markdown table by the age of the snapshot
and the share of backends replaced since. The usual trust by age is compared with a controller that trusts the
snapshot in full and one that waits for discovery.
"""

import sys
from concurrent.futures import ProcessPoolExecutor

from embertray.controller.endpoint_list import UpdateKind
from embertray.controller.trust import Trust, TrustDecision
from embertray.simulation.scenarios import notation, player

LIST_AGES, REPLACED_PERCENTS, SEEDS, DISCOVERY_DOWN_S = (
    ("0s", "1min", "60min", "1440min"),
    (0, 10, 50, 90),
    (1, 2, 3),
    15,
)


class FullTrust(Trust):
    """Trusts the snapshot as if it had just been received, whatever its age."""

    def start(self, now, snapshot, clocks):
        """Forwards every backend of the snapshot at once."""
        super().start(now, snapshot, clocks)
        self.retention.candidate_count = 0
        for known in self.backends.values():
            known.candidate = False
            known.forwarded = True
        return TrustDecision(UpdateKind.CACHED, [known.entry for known in self.backends.values()])


class DiscoveryOnlyTrust(Trust):
    """Does nothing before discovery answers."""

    def start(self, now, snapshot, clocks):
        """Starts with an empty list, without the snapshot."""
        super().start(now, None, clocks)
        return TrustDecision(UpdateKind.CACHED, [])

    def retains_tables(self, now, fresh, name):
        """Keeps the tables of proxies until discovery has answered."""
        return not self.discovery_answered

    def is_settled(self, now):
        """Whether discovery has answered."""
        return self.discovery_answered


TRUST_VARIANTS = {"by age": None, "in full": FullTrust, "waits": DiscoveryOnlyTrust}


def measure(job):
    """Plays one day for a job (variant, age, replaced percent, seed, whether the tables are newer).

    Returns the job's variant, age, share and flag, then credit, whether all rules held, the seconds from
    the restart to the first orders, from discovery's recovery to the last bind, and the requests that
    failed because their backend was gone.
    """
    variant, age, replaced, seed, list_is_older = job
    early = "at 4s preempt 50% batch=4 drain=3s\n" if list_is_older else ""
    day = notation.read(
        f"site pushed\nfleet backends=10 proxies=12 controllers=1\nload 70/s for 45s\n{early}"
        f"at 16s old-list c1 for 2s age={age} replaced={replaced}% down={DISCOVERY_DOWN_S}s"
        + (" kept=first" if list_is_older else "")
    )
    result = player.play(day, seed=seed, trust=TRUST_VARIANTS[variant])
    events = result.events
    killed_at = next(e.at for e in events if e.what == "killed")
    restarted_at = killed_at + 2 * 10**9
    first_orders_at = min((e.at for e in events if e.what == "applied" and e.at > restarted_at), default=0)
    recovered_at = min((e.at for e in events if e.what == "told" and e.at > restarted_at), default=0)
    last_bind_at = max(
        (
            e.at
            for e in events
            if e.what == "applied"
            and recovered_at < e.at < recovered_at + 8 * 10**9
            and any(type(do).__name__ == "Bind" for do in e.rest[0].do)
        ),
        default=recovered_at,
    )
    failed_requests = sum(
        1 for e in events if e.what == "failed" and e.at > restarted_at and e.rest[2] in ("refused", "broken")
    )
    return (
        variant,
        age,
        replaced,
        list_is_older,
        result.credit,
        result.kept,
        (first_orders_at - restarted_at) / 1e9,
        (last_bind_at - recovered_at) / 1e9,
        failed_requests,
    )


def main():
    """Runs all jobs in parallel processes, and prints the table."""
    jobs = [
        (variant, age, replaced, seed, list_is_older)
        for list_is_older in (False, True)
        for age in LIST_AGES
        for replaced in REPLACED_PERCENTS
        for variant in TRUST_VARIANTS
        for seed in SEEDS
        if not list_is_older or age == "60min"
    ]
    cells = {}
    with ProcessPoolExecutor(int(sys.argv[1]) if len(sys.argv) > 1 else 6) as pool:
        for variant, age, replaced, list_is_older, *figures in pool.map(measure, jobs):
            cells.setdefault((list_is_older, age, replaced), {}).setdefault(variant, []).append(figures)
    print(
        "| list | age | replaced | credit: by age / in full / waits | first orders after, s | last "
        "bind after recovery, s "
        "| reqs to who is not there | rules |\n" + "| --- " * 8 + "|"
    )
    for (list_is_older, age, replaced), by_variant in cells.items():

        def mean(n, format_spec):
            return " / ".join(
                format(sum(row[n] for row in by_variant[variant]) / len(by_variant[variant]), format_spec)
                for variant in TRUST_VARIANTS
            )

        kept = all(row[1] for rows in by_variant.values() for row in rows)
        broken = ", ".join(variant for variant, rows in by_variant.items() if not all(row[1] for row in rows))
        print(
            f"| {'behind the tables' if list_is_older else 'as the tables'} | {age} | {replaced}% | "
            f"{mean(0, '.3f')} | "
            f"{mean(2, '.1f')} | {mean(3, '.1f')} | {mean(4, '.0f')} | "
            f"{'kept' if kept else 'BROKEN: ' + broken} |"
        )


if __name__ == "__main__":
    main()

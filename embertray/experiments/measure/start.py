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

AGES, REPLACED, SEEDS, DOWN = ("0s", "1min", "60min", "1440min"), (0, 10, 50, 90), (1, 2, 3), 15


class Fully(Trust):
    """Trusts the snapshot as if it had just been received, whatever its age."""

    def start(self, now, snapshot, clocks):
        """Forwards every backend of the snapshot at once."""
        super().start(now, snapshot, clocks)
        self.retention.candidate_count = 0
        for known in self.backends.values():
            known.candidate = False
            known.forwarded = True
        return TrustDecision(UpdateKind.CACHED, [known.entry for known in self.backends.values()])


class Waits(Trust):
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


WAYS = {"by age": None, "in full": Fully, "waits": Waits}


def one(job):
    """Plays one day for a job (variant, age, replaced percent, seed, whether the tables are newer).

    Returns the job's variant, age, share and flag, then credit, whether all rules held, the seconds from
    the restart to the first orders, from discovery's recovery to the last bind, and the requests that
    failed because their backend was gone.
    """
    way, age, replaced, seed, behind = job
    early = "at 4s preempt 50% batch=4 drain=3s\n" if behind else ""
    day = notation.read(
        f"site pushed\nfleet backends=10 proxies=12 controllers=1\nload 70/s for 45s\n{early}"
        f"at 16s old-list c1 for 2s age={age} replaced={replaced}% down={DOWN}s"
        + (" kept=first" if behind else "")
    )
    result = player.play(day, seed=seed, trust=WAYS[way])
    events = result.events
    killed = next(e.at for e in events if e.what == "killed")
    up = killed + 2 * 10**9
    first = min((e.at for e in events if e.what == "applied" and e.at > up), default=0)
    spoke = min((e.at for e in events if e.what == "told" and e.at > up), default=0)
    last = max(
        (
            e.at
            for e in events
            if e.what == "applied"
            and spoke < e.at < spoke + 8 * 10**9
            and any(type(do).__name__ == "Bind" for do in e.rest[0].do)
        ),
        default=spoke,
    )
    lost = sum(1 for e in events if e.what == "failed" and e.at > up and e.rest[2] in ("refused", "broken"))
    return (
        way,
        age,
        replaced,
        behind,
        result.credit,
        result.kept,
        (first - up) / 1e9,
        (last - spoke) / 1e9,
        lost,
    )


def main():
    """Runs all jobs in parallel processes, and prints the table."""
    jobs = [
        (way, age, replaced, seed, behind)
        for behind in (False, True)
        for age in AGES
        for replaced in REPLACED
        for way in WAYS
        for seed in SEEDS
        if not behind or age == "60min"
    ]
    cells = {}
    with ProcessPoolExecutor(int(sys.argv[1]) if len(sys.argv) > 1 else 6) as pool:
        for way, age, replaced, behind, *figures in pool.map(one, jobs):
            cells.setdefault((behind, age, replaced), {}).setdefault(way, []).append(figures)
    print(
        "| list | age | replaced | credit: by age / in full / waits | first orders after, s | last "
        "bind after recovery, s "
        "| reqs to who is not there | rules |\n" + "| --- " * 8 + "|"
    )
    for (behind, age, replaced), ways in cells.items():

        def mean(n, form):
            return " / ".join(format(sum(row[n] for row in ways[way]) / len(ways[way]), form) for way in WAYS)

        kept = all(row[1] for rows in ways.values() for row in rows)
        broken = ", ".join(way for way, rows in ways.items() if not all(row[1] for row in rows))
        print(
            f"| {'behind the tables' if behind else 'as the tables'} | {age} | {replaced}% | "
            f"{mean(0, '.3f')} | "
            f"{mean(2, '.1f')} | {mean(3, '.1f')} | {mean(4, '.0f')} | "
            f"{'kept' if kept else 'BROKEN: ' + broken} |"
        )


if __name__ == "__main__":
    main()

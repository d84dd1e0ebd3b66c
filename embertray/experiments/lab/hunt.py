"""Searches random days for broken rules or low credit, and minimizes the days it finds."""

from concurrent.futures import ProcessPoolExecutor
from functools import partial

import numpy as np

from embertray.service.site import load as load_site
from embertray.service.site.schema import SITE_FOLDER
from embertray.simulation.emulator.play import play as play_emulated
from embertray.simulation.scenarios import notation, player

# fault -> template of its arguments in a day
FAULT_ARGUMENTS = {
    "crash": "{b} for {s}s",
    "vanish": "{b} for {s}s",
    "slow": "{b} for {s}s times {x}",
    "hang": "{b} for {s}s",
    "errors": "{b} for {s}s share=0.{d}",
    "flap": "{b} times 3 by 2s",
    "deploy": "{part}% batch={n} drain=4s by {n}s",
    "preempt": "{part}% batch={n} drain=3s by {n}s",
    "false-reports": "{b} for {s}s times 0.1",
    "one-sided": "{b} for {s}s",
    "add": "times {n}",
    "reconnect": "{part}%",
    "cut-off": "{p} for {s}s",
    "late-reports": "100% for {s}s by {n}s",
    "hot": "{p} for {s}s times {x}",
    "kill": "c1 for {n}s",
    "stall": "c1 for 2s times {n} by 2s",
    "slow-channel": "c1 for {s}s times {x}",
    "list-down": "for {s}s",
    "rejoin-list": "{b}",
    "deaf": "{p} for {s}s",
    "old-list": "c1 for 2s age=60min replaced={part}% down=6s",
}
LOAD_SECONDS = 30


def draw_day(site, rng):
    """Returns the lines of a random day: the site, the fleet, the load and one to four faults."""
    backends, proxies = int(rng.integers(4, 11)), int(rng.integers(2, 11))
    lines = [
        f"site {site}",
        f"fleet backends={backends} proxies={proxies} controllers={int(rng.integers(1, 3))} "
        f"speed=0.{int(rng.integers(6, 10))}..1.{int(rng.integers(1, 5))}",
    ]
    mean_service_time_s = (
        np.mean(
            [kind.latency_objective / 10 for kind in load_site(SITE_FOLDER / "samples" / f"{site}.xml").kinds]
        )
        / 1e9
    )
    capacity = backends * 2 / mean_service_time_s
    lines.append(
        f"load {capacity * rng.uniform(0.3, 0.75):.0f}/s for {LOAD_SECONDS}s skew=0.{int(rng.integers(0, 9))}"
    )
    for _ in range(int(rng.integers(1, 5))):
        name = list(FAULT_ARGUMENTS)[int(rng.integers(len(FAULT_ARGUMENTS)))]
        arguments = FAULT_ARGUMENTS[name].format(
            b=f"b{int(rng.integers(1, backends + 1))}",
            p=f"p{int(rng.integers(1, proxies + 1))}",
            s=int(rng.integers(3, 14)),
            x=int(rng.integers(2, 7)),
            d=int(rng.integers(3, 10)),
            n=int(rng.integers(1, 4)),
            part=int(rng.integers(2, 10)) * 10,
        )
        lines.append(f"at {int(rng.integers(2, 18))}s {name} {arguments}")
    return lines


def play_day(lines, seed, core=None, simulator="emulated"):
    """Plays a day and returns its Result. `core`: type of the controllers' core; None: the production one."""
    day = notation.read("\n".join(lines), "hunt.day")
    if simulator == "emulated":
        return play_emulated(day, seed, core=core)
    return player.play(day, seed=seed, core=core)


def minimize(lines, seed, reproduces, core=None, simulator="emulated"):
    """Removes faults one by one as long as `reproduces(result)` holds, and returns the remaining lines."""
    header, faults = lines[:3], lines[3:]
    removed = True
    while removed:
        removed = False
        for n in range(len(faults)):
            candidate = header + faults[:n] + faults[n + 1 :]
            if reproduces(play_day(candidate, seed, core, simulator)):
                faults, removed = faults[:n] + faults[n + 1 :], True
                break
    return header + faults


def try_day(sites, seed, core, simulator, n):
    """Draws and plays day n; returns (n, lines, broken rules, credit).

    Each day is drawn from its own number, so that a search can be interrupted, continued or spread over
    processes with the same days.
    """
    lines = draw_day(sites[n % len(sites)], np.random.default_rng([seed, n]))
    result = play_day(lines, n + 1, core, simulator)
    return n, lines, sorted(rule for rule, why in result.violations.items() if why), result.credit


def hunt(
    sites,
    tries,
    seed=1,
    find_broken_rules=True,
    core=None,
    on_progress=lambda *_: None,
    simulator="emulated",
    jobs=1,
):
    """Searches `tries` random days.

    Args:
        sites: Names of sample sites, taken in turn.
        tries: How many days are drawn.
        seed: Seed of the days' random draws.
        find_broken_rules: Whether to return every day that breaks a rule, minimized; otherwise only the day
            of the lowest credit is returned, as it was drawn.
        core: Type of the controllers' core; None: the production one.
        on_progress: Called with the count of days played and `tries`.
        simulator: "emulated" or "virtual".
        jobs: Count of processes.

    Returns:
        [(text of the day, Result)].
    """
    try_numbered = partial(try_day, sites, seed, core, simulator)
    if jobs > 1:
        with ProcessPoolExecutor(jobs) as pool:
            attempts = []
            for attempt in pool.map(try_numbered, range(tries)):
                attempts.append(attempt)
                on_progress(len(attempts), tries)
    else:
        attempts = []
        for n in range(tries):
            attempts.append(try_numbered(n))
            on_progress(n + 1, tries)
    if not find_broken_rules:
        n, lines, _, credit = min(attempts, key=lambda attempt: attempt[3])
        return [(day_text(lines, n + 1, f"credit {credit:.3f}"), play_day(lines, n + 1, core, simulator))]
    findings = []
    for n, lines, names, _ in attempts:
        if names:
            lines = minimize(
                lines,
                n + 1,
                lambda r, names=names: any(r.violations[name] for name in names),
                core,
                simulator,
            )
            findings.append(
                (
                    day_text(lines, n + 1, f"breaks {', '.join(names)}"),
                    play_day(lines, n + 1, core, simulator),
                )
            )
    return findings


def day_text(lines, seed, finding):
    """Returns the text of a day file that says what was found on it."""
    return f'about "Found by a hunt, {finding}, seed {seed}"\n' + "\n".join(lines) + "\n"

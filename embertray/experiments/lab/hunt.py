"""Looks for days on which a rule breaks or credit is lost, and cuts them down to what matters."""

from concurrent.futures import ProcessPoolExecutor
from functools import partial

import numpy as np

from embertray.service.site import load as load_site
from embertray.service.site.schema import SITE_FOLDER as SITES
from embertray.simulation.emulator.play import play as play_emulated
from embertray.simulation.scenarios import notation, player

# fault -> how a line of it may be drawn
SHAPES = {
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
SECONDS = 30


def draw(site, rng):
    """A day's text: fleet, load, one to four faults."""
    backends, proxies = int(rng.integers(4, 11)), int(rng.integers(2, 11))
    lines = [
        f"site {site}",
        f"fleet backends={backends} proxies={proxies} controllers={int(rng.integers(1, 3))} "
        f"speed=0.{int(rng.integers(6, 10))}..1.{int(rng.integers(1, 5))}",
    ]
    work = (
        np.mean([kind.latency_objective / 10 for kind in load_site(SITES / "samples" / f"{site}.xml").kinds])
        / 1e9
    )
    able = backends * 2 / work
    lines.append(
        f"load {able * rng.uniform(0.3, 0.75):.0f}/s for {SECONDS}s skew=0.{int(rng.integers(0, 9))}"
    )
    for _ in range(int(rng.integers(1, 5))):
        name = list(SHAPES)[int(rng.integers(len(SHAPES)))]
        words = SHAPES[name].format(
            b=f"b{int(rng.integers(1, backends + 1))}",
            p=f"p{int(rng.integers(1, proxies + 1))}",
            s=int(rng.integers(3, 14)),
            x=int(rng.integers(2, 7)),
            d=int(rng.integers(3, 10)),
            n=int(rng.integers(1, 4)),
            part=int(rng.integers(2, 10)) * 10,
        )
        lines.append(f"at {int(rng.integers(2, 18))}s {name} {words}")
    return lines


def play(lines, seed, core=None, way="emulated"):
    day = notation.read("\n".join(lines), "hunt.day")
    if way == "emulated":
        return play_emulated(day, seed, core=core)
    return player.play(day, seed=seed, core=core)


def shrink(lines, seed, still, core=None, way="emulated"):
    """Takes out one fault after the other for as long as `still(result)` holds."""
    head, faults = lines[:3], lines[3:]
    again = True
    while again:
        again = False
        for n in range(len(faults)):
            fewer = head + faults[:n] + faults[n + 1 :]
            if still(play(fewer, seed, core, way)):
                faults, again = faults[:n] + faults[n + 1 :], True
                break
    return head + faults


def attempt(sites, seed, core, way, n):
    """Try n: (n, lines, broken rules, credit). Each is drawn from its own number, so a hunt may be cut short,
    gone on with, or spread over processes."""
    lines = draw(sites[n % len(sites)], np.random.default_rng([seed, n]))
    result = play(lines, n + 1, core, way)
    return n, lines, sorted(rule for rule, why in result.violations.items() if why), result.credit


def hunt(sites, tries, seed=1, rules=True, core=None, on_progress=lambda *_: None, way="emulated", jobs=1):
    """[(text, result)] of days found: with `rules` those on which a rule breaks, cut down; else the one of
    the least credit."""
    one = partial(attempt, sites, seed, core, way)
    if jobs > 1:
        with ProcessPoolExecutor(jobs) as pool:
            done = []
            for found in pool.map(one, range(tries)):
                done.append(found)
                on_progress(len(done), tries)
    else:
        done = []
        for n in range(tries):
            done.append(one(n))
            on_progress(n + 1, tries)
    if not rules:
        n, lines, _, credit = min(done, key=lambda found: found[3])
        return [(text(lines, n + 1, f"credit {credit:.3f}"), play(lines, n + 1, core, way))]
    found = []
    for n, lines, names, _ in done:
        if names:
            lines = shrink(
                lines, n + 1, lambda r, names=names: any(r.violations[name] for name in names), core, way
            )
            found.append((text(lines, n + 1, f"breaks {', '.join(names)}"), play(lines, n + 1, core, way)))
    return found


def text(lines, seed, what):
    return f'about "Found by a hunt, {what}, seed {seed}"\n' + "\n".join(lines) + "\n"

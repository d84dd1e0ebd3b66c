"""Looks for days on which a rule breaks or credit is lost, and cuts them down to what matters."""
import numpy as np

from ..days import notation, player
from ..site import load as load_site
from ..site.site import HERE as SITES

# trouble -> how a line of it may be drawn
SHAPES = {
    "crash": "{b} for {s}s", "vanish": "{b} for {s}s", "slow": "{b} for {s}s times {x}", "hang": "{b} for {s}s",
    "errors": "{b} for {s}s share=0.{d}", "flap": "{b} times 3 by 2s", "deploy": "{part}% batch={n} drain=4s by {n}s",
    "preempt": "{part}% batch={n} drain=3s by {n}s", "false-reports": "{b} for {s}s times 0.1", "one-sided": "{b} for {s}s",
    "add": "times {n}", "reconnect": "{part}%", "cut-off": "{p} for {s}s", "late-reports": "100% for {s}s by {n}s",
    "hot": "{p} for {s}s times {x}", "kill": "c1 for {n}s", "stall": "c1 for 2s times {n} by 2s",
    "slow-channel": "c1 for {s}s times {x}", "list-down": "for {s}s", "rejoin-list": "{b}", "deaf": "{p} for {s}s",
    "old-list": "c1 for 2s age=60min replaced={part}% down=6s",
}
SECONDS = 30


def draw(site, rng):
    """A day's text: fleet, load, one to four troubles."""
    backends, proxies = int(rng.integers(4, 11)), int(rng.integers(2, 11))
    lines = [f"site {site}", f"fleet backends={backends} proxies={proxies} controllers={int(rng.integers(1, 3))} "
             f"speed=0.{int(rng.integers(6, 10))}..1.{int(rng.integers(1, 5))}"]
    work = np.mean([kind.response_target / 10 for kind in load_site(SITES / "samples" / f"{site}.xml").kinds]) / 1e9
    able = backends * 2 / work
    lines.append(f"load {able * rng.uniform(0.3, 0.75):.0f}/s for {SECONDS}s skew=0.{int(rng.integers(0, 9))}")
    for _ in range(int(rng.integers(1, 5))):
        name = list(SHAPES)[int(rng.integers(len(SHAPES)))]
        words = SHAPES[name].format(b=f"b{int(rng.integers(1, backends + 1))}", p=f"p{int(rng.integers(1, proxies + 1))}",
                                    s=int(rng.integers(3, 14)), x=int(rng.integers(2, 7)), d=int(rng.integers(3, 10)),
                                    n=int(rng.integers(1, 4)), part=int(rng.integers(2, 10)) * 10)
        lines.append(f"at {int(rng.integers(2, 18))}s {name} {words}")
    return lines


def play(lines, seed, core=None):
    return player.play(notation.read("\n".join(lines), "hunt.day"), seed=seed, core=core)


def shrink(lines, seed, still, core=None):
    """Takes out one trouble after the other for as long as `still(result)` holds."""
    head, troubles = lines[:3], lines[3:]
    again = True
    while again:
        again = False
        for n in range(len(troubles)):
            fewer = head + troubles[:n] + troubles[n + 1:]
            if still(play(fewer, seed, core)):
                troubles, again = troubles[:n] + troubles[n + 1:], True
                break
    return head + troubles


def hunt(sites, tries, seed=1, rules=True, core=None, tell=lambda *_: None):
    """[(text, result)] of days found: with `rules` those on which a rule breaks, cut down; else the one of the least
    credit. Each try is drawn from its own number, so a hunt can be cut short and gone on with."""
    found, least = [], None
    for n in range(tries):
        rng = np.random.default_rng([seed, n])
        lines = draw(sites[n % len(sites)], rng)
        result = play(lines, n + 1, core)
        tell(n + 1, tries, result)
        if rules and not result.kept:
            names = {rule for rule, why in result.rules.items() if why}
            lines = shrink(lines, n + 1, lambda r: bool(names & {k for k, why in r.rules.items() if why}), core)
            found.append((text(lines, n + 1, f"breaks {', '.join(sorted(names))}"), result))
        elif not rules and (least is None or result.credit < least[1].credit):
            least = (text(lines, n + 1, f"credit {result.credit:.3f}"), result)
    return found if rules else [least]


def text(lines, seed, what):
    return f'about "Found by a hunt, {what}, seed {seed}"\n' + "\n".join(lines) + "\n"

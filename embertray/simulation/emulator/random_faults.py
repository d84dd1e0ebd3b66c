"""Days with random faults, for simulations and for runs with real processes."""

import random


def random_faults(seed, members, lasts=120, count=4, extra=""):
    """Draws faults on members and links of a cluster, which may overlap.

    They begin in the first half of the day, so that all claims are also checked after them.

    Args:
        seed: Seed of the draws.
        members: Number of members.
        lasts: The day's duration, seconds.
        count: Number of faults.
        extra: Further settings of the fleet.

    Returns:
        The day's text.
    """
    draw = random.Random(f"wounds {seed}")
    names = [f"c{n + 1}" for n in range(members)]
    lines = [
        f'about "drawn by seed {seed}"',
        "site pushed",
        f"fleet controllers={members} cluster=yes {extra}".strip(),
        f"load 40/s for {lasts}s",
    ]

    def link():
        a, b = draw.sample(names, 2)
        return f"{a}{draw.choice(['>', '<>'])}{b}"

    for _ in range(count):
        at, span = draw.randrange(5, lasts // 2), draw.randrange(1, lasts // 4)
        some = " ".join(sorted(draw.sample(names, draw.randint(1, max(1, members // 2)))))
        links = " ".join(link() for _ in range(draw.randint(1, members)))
        lines.append(
            f"at {at}s "
            + draw.choice(
                [
                    f"kill {some} for {span}s",
                    f"stall {some} for {span}s",
                    f"restart {some} by {span}s",
                    f"slow-start {some} by {span}s",
                    f"silent {links} for {span}s",
                    f"lossy {links} share={draw.choice([10, 30, 60])}% for {span}s",
                    f"lagged {links} by {draw.choice([20, 80, 400])}ms "
                    f"jitter={draw.choice([0, 50, 200])}ms for {span}s",
                    f"repeated {links} share=50% for {span}s",
                    f"flutter {links} times {draw.randint(1, 5)} by {draw.randint(1, 4)}s",
                    f"split groups={draw.choice(['50%/50%', '30%/70%', '30%/30%/40%'])} for {span}s",
                ]
            )
        )
    return "\n".join(lines) + "\n"

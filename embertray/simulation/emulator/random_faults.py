"""Days with random faults, for simulations and for runs with real processes."""

import random


def random_faults(seed, members, day_duration=120, count=4, extra=""):
    """Draws faults on members and links of a cluster, which may overlap.

    They begin in the first half of the day, so that all claims are also checked after them.

    Args:
        seed: Seed of the draws.
        members: Number of members.
        day_duration: The day's duration, seconds.
        count: Number of faults.
        extra: Further settings of the fleet.

    Returns:
        The day's text.
    """
    rng = random.Random(f"wounds {seed}")
    names = [f"c{n + 1}" for n in range(members)]
    lines = [
        f'about "drawn by seed {seed}"',
        "site pushed",
        f"fleet controllers={members} cluster=yes {extra}".strip(),
        f"load 40/s for {day_duration}s",
    ]

    def link():
        a, b = rng.sample(names, 2)
        return f"{a}{rng.choice(['>', '<>'])}{b}"

    for _ in range(count):
        at, duration = rng.randrange(5, day_duration // 2), rng.randrange(1, day_duration // 4)
        targets = " ".join(sorted(rng.sample(names, rng.randint(1, max(1, members // 2)))))
        links = " ".join(link() for _ in range(rng.randint(1, members)))
        lines.append(
            f"at {at}s "
            + rng.choice(
                [
                    f"kill {targets} for {duration}s",
                    f"stall {targets} for {duration}s",
                    f"restart {targets} by {duration}s",
                    f"slow-start {targets} by {duration}s",
                    f"silent {links} for {duration}s",
                    f"lossy {links} share={rng.choice([10, 30, 60])}% for {duration}s",
                    f"lagged {links} by {rng.choice([20, 80, 400])}ms "
                    f"jitter={rng.choice([0, 50, 200])}ms for {duration}s",
                    f"repeated {links} share=50% for {duration}s",
                    f"flutter {links} times {rng.randint(1, 5)} by {rng.randint(1, 4)}s",
                    f"split groups={rng.choice(['50%/50%', '30%/70%', '30%/30%/40%'])} for {duration}s",
                ]
            )
        )
    return "\n".join(lines) + "\n"

"""What each purpose may take, and what is done at its cap; decisions, no I/O.

A cap follows from the fleet's size as the site names it, times FLEET_HEADROOM, so that a fleet of twice
that size is served without any action. Each action keeps the five rules: removals always pass, no line that
is there is taken away.

| purpose | at the cap | why this |
| --- | --- | --- |
| tables, list | who is remembered as gone is forgotten, new backends wait; the list is asked for whole again
when there is room | what is there serves on; what is gone leaves | | reports | the oldest waiting lines are
dropped and counted | the newest tell more; counts of dropped lines are shown | | channel | the proxy with the
most lines waiting is cut | the others get theirs; it is bound anew when it is back | | streams, names | joins
are turned away, with a time to come back | who is there is served | | probes | probes are skipped | they are
extra: sums tell the same, later | | cluster (where the site has one) | what others tell anew is left out,
what is held is renewed | it comes again with the next exchange once there is room |
"""

from collections import namedtuple

S, KIB, MIB = 10**9, 1024, 1024 * 1024
# -- constants: value, unit, reason
FLEET_HEADROOM = 4  # x the named fleet: twice its size, and twice that for bursts
CAP_BYTES_MIN = 1 * MIB  # bytes; a small fleet's caps are not worth acting on below
PROXY_BYTES = 24 * KIB  # bytes; a stream with its transport, queues and session, measured: 22 KiB
NAME_BYTES = 6 * KIB  # bytes; a proxy or backend as the module keeps it, without samples
SAMPLE_BYTES, SAMPLES_KEPT = 300, 64  # bytes of one report as kept, and how many the module keeps of each
LINE_BYTES = 400  # bytes of a line in tables: as ordered, as wanted and as told
WAITING_LINE_BYTES = 200  # bytes of a line that waits in the channel, its share of the message included
LISTED_BYTES = 1 * KIB  # bytes of a list's entry: as held, its starts and its handle
MEMBER_BYTES = (
    4 * KIB
)  # bytes; a member with its statement, digests, probes and refusals that are counted by address
PROBES_IN_FLIGHT_MAX = 256  # probes under way at most
RELEASE_SHARE = 0.9  # of the cap: an action ends below, so that it does not flap
NOTICE_SHARE, NOTICE_RESET_SHARE = 0.8, 0.7  # of the cap: said once above, and again only after it was below
JOIN_DELAY_NS, JOIN_DELAY_JITTER_NS = (
    5 * S,
    10 * S,
)  # ns; a turned away proxy comes back after so long, spread by chance: no storm

# allocations and rounds of Python's collector: as Python sets it (700, 10, 10) it took 7 percent of the CPU
# and stood still for 163 ms at 1,000 proxies; so, 0.2 percent and 45 ms (docs/measured/memory.md). What we
# make is freed by counts; cycles are few
COLLECTOR_THRESHOLDS = (50_000, 20, 100)

ACTIONS = {
    "tables": "hold",
    "list": "hold",
    "reports": "drop",
    "channel": "cut",
    "streams": "turn away",
    "names": "turn away",
    "probes": "skip",
    "cluster": "leave out",
}

CapInstruction = namedtuple(
    "CapInstruction", "purpose action excess"
)  # excess: bytes over what ends the action


def default_caps(site):
    """purpose -> bytes, from the fleet that the site names."""
    proxies, backends = max(16, site.proxies), max(16, site.backends)
    zones, kinds = len(site.zones), len(site.kinds)
    reports = (backends * (1 + zones) + proxies * kinds) * SAMPLES_KEPT * SAMPLE_BYTES
    caps = {
        "tables": zones * backends * LINE_BYTES + proxies * KIB,
        "list": backends * LISTED_BYTES,
        "reports": reports,
        "channel": int(site.pending_max * WAITING_LINE_BYTES) + proxies * KIB,
        "streams": proxies * PROXY_BYTES,
        "names": (proxies + backends) * NAME_BYTES,
        "probes": PROBES_IN_FLIGHT_MAX * KIB,
    }
    if site.cluster:  # twice the state: its cap counts bytes told, this one what holds them, too
        caps["cluster"] = (2 * site.cluster.state + len(site.controllers) * MEMBER_BYTES) // FLEET_HEADROOM
    return {purpose: max(CAP_BYTES_MIN, FLEET_HEADROOM * size) for purpose, size in caps.items()}

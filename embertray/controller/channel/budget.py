"""Calculates from a site's description what its channel can carry, without I/O.

If a channel is too slow, no controller can keep the rules: a drain must reach every proxy within the drain
grace, and a proxy that joins has to be bound. docs/measured/emulator.md shows a fleet of 192 x 192 on a
channel for 12 x 12, where each drain exceeds its grace.
"""

from typing import NamedTuple

NS_PER_SECOND = 10**9
# Share of the drain grace for sending one removal; the rest is for the channel delay and the proxies.
REMOVAL_SHARE = 0.5
# Time within which a restarted controller should bind all its proxies, ns: somewhat more than a usual report
# window.
BIND_ALL_TARGET_NS = 30 * NS_PER_SECOND
BIND_SHARE_MAX = 0.6  # of the lines that may wait; a larger bind can hardly ever be sent
FIXED_LINES = 2  # lines of a message beyond its head: the nonce, and the removal or the bind itself


class ChannelBudget(NamedTuple):
    """Channel times of one controller of a site.

    Attributes:
        removal: Channel time to send one removal to all proxies, ns.
        bind_one: Channel time of one bind, ns.
        bind_all: Channel time to bind all proxies, ns.
        warnings: A text for each limit that is exceeded.
    """

    removal: int
    bind_one: int
    bind_all: int
    warnings: list[str]


def channel_budget(site):
    """Returns the ChannelBudget of a Site's controller in the worst case: it serves all proxies alone."""
    removal_lines = site.proxies * (site.head + FIXED_LINES)
    bind_lines = site.head + FIXED_LINES + site.backends + len(site.kinds)
    removal = int(removal_lines * NS_PER_SECOND / site.channel_rate)
    bind_one = int(bind_lines * NS_PER_SECOND / site.channel_rate)
    bind_all = site.proxies * bind_one
    warnings = [
        *_removal_warnings(site, removal, removal_lines),
        *_bind_all_warnings(site, bind_all, bind_lines),
        *_bind_one_warnings(site, bind_lines),
    ]
    return ChannelBudget(removal, bind_one, bind_all, warnings)


def _removal_warnings(site, removal, lines):
    allowed = site.drain_grace * REMOVAL_SHARE
    if removal + site.channel_delay_max <= allowed:
        return []
    needed_rate = lines * NS_PER_SECOND / max(1.0, allowed - site.channel_delay_max)
    return [
        f"sending one drain to {site.proxies} proxies takes {removal / NS_PER_SECOND:.2f} s of channel time "
        f"and {site.channel_delay_max / NS_PER_SECOND:.2f} s of channel delay, of a drain grace of "
        f"{site.drain_grace / NS_PER_SECOND:.2f} s: {needed_rate:.0f} lines a second would be enough"
    ]


def _bind_all_warnings(site, bind_all, bind_lines):
    if bind_all <= BIND_ALL_TARGET_NS:
        return []
    needed_rate = site.proxies * bind_lines * NS_PER_SECOND / BIND_ALL_TARGET_NS
    return [
        f"binding {site.proxies} proxies to {site.backends} backends takes {bind_all / NS_PER_SECOND:.0f} s "
        f"of channel time: {needed_rate:.0f} lines a second would do it in "
        f"{BIND_ALL_TARGET_NS // NS_PER_SECOND} s"
    ]


def _bind_one_warnings(site, bind_lines):
    if not site.pending_max or bind_lines <= site.pending_max * BIND_SHARE_MAX:
        return []
    return [
        f"one bind takes {bind_lines:.0f} of the {site.pending_max:.0f} lines that may wait: "
        "proxies can hardly be bound"
    ]

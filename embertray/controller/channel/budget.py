"""What a site's channel can carry, reckoned from the site's description, without I/O.

Some rules can't be kept by any controller if the arithmetic forbids it: a drain must reach every proxy within
the grace, and a proxy that joins has to be bound. docs/measured/emulator.md shows a fleet of 192 x 192 on a
channel for 12 x 12: each drain past its grace.
"""

from typing import NamedTuple

NS_PER_SECOND = 10**9
# Part of the drain grace that one removal may take of the channel: the rest is for the way and the proxies.
REMOVAL_SHARE = 0.5
# Time in which a restarted controller should have bound all its proxies, ns: a usual report window and some.
BIND_ALL_TARGET_NS = 30 * NS_PER_SECOND
BIND_SHARE_MAX = 0.6  # of the lines that may wait; a larger bind can hardly ever be sent
FIXED_LINES = 2  # lines: a nonce, and the one line that a removal or the head of a bind counts


class ChannelBudget(NamedTuple):
    """What the channel of one controller of a site carries.

    Attributes:
        removal: Channel time in which one removal reaches all proxies, ns.
        bind_one: Channel time of one bind, ns.
        bind_all: Channel time of binding all proxies, ns.
        warnings: What does not fit, in words; empty when all fits.
    """

    removal: int
    bind_one: int
    bind_all: int
    warnings: list[str]


def channel_budget(site):
    """Returns the ChannelBudget of one controller of a Site that serves all proxies: the others are gone."""
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
        f"telling {site.proxies} proxies of one drain takes {removal / NS_PER_SECOND:.2f} s of the channel "
        f"and {site.channel_delay_max / NS_PER_SECOND:.2f} s of way, of a grace of "
        f"{site.drain_grace / NS_PER_SECOND:.2f} s: {needed_rate:.0f} lines a second would leave room"
    ]


def _bind_all_warnings(site, bind_all, bind_lines):
    if bind_all <= BIND_ALL_TARGET_NS:
        return []
    needed_rate = site.proxies * bind_lines * NS_PER_SECOND / BIND_ALL_TARGET_NS
    return [
        f"binding {site.proxies} proxies to {site.backends} backends takes {bind_all / NS_PER_SECOND:.0f} s "
        f"of the channel: {needed_rate:.0f} lines a second would do it in "
        f"{BIND_ALL_TARGET_NS // NS_PER_SECOND} s"
    ]


def _bind_one_warnings(site, bind_lines):
    if not site.pending_max or bind_lines <= site.pending_max * BIND_SHARE_MAX:
        return []
    return [
        f"one bind is {bind_lines:.0f} lines of {site.pending_max:.0f} that may wait: "
        "proxies can hardly be bound"
    ]

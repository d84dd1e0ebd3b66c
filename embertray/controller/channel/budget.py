"""What a site's channel can carry, reckoned from its description; no I/O.

A rule can't be kept by any controller where the arithmetic forbids it: a drain must reach every proxy within
the grace, and a proxy that joins has to be bound. docs/measured/emulator.md shows a fleet of 192 x 192 on a
channel for 12 x 12: each drain past its grace.
"""

from collections import namedtuple

S = 10**9
# -- constants: value, unit, reason
# of the drain's grace that one removal may take of the channel: the rest is the way, and a proxy's delay
REMOVAL_SHARE = 0.5
BIND_ALL_TARGET_NS = (
    30 * S
)  # ns in which a restarted controller should have bound all its proxies: a usual report window and some

ChannelBudget = namedtuple("ChannelBudget", "removal bind_one bind_all warnings")  # ns of channel time each


def channel_budget(site):
    """The ChannelBudget of one controller of the site: its proxies are the site's by the number of controllers,
    all of them when the others are gone. Warnings are texts, empty when all fits."""
    rate, warnings = site.channel_rate, []
    each = site.head + 2  # head, nonce, one line
    bind = site.head + 2 + site.backends + len(site.kinds)
    removal, bind_one = int(site.proxies * each * S / rate), int(bind * S / rate)
    bind_all = site.proxies * bind_one
    if removal + site.way_most > site.drain_grace * REMOVAL_SHARE:
        need = site.proxies * each * S / max(1.0, site.drain_grace * REMOVAL_SHARE - site.way_most)
        warnings.append(
            f"telling {site.proxies} proxies of one drain takes {removal / S:.2f} s of the channel "
            f"and {site.way_most / S:.2f} s of "
            f"way, of a grace of {site.drain_grace / S:.2f} s: {need:.0f} lines a second would leave room"
        )
    if bind_all > BIND_ALL_TARGET_NS:
        warnings.append(
            f"binding {site.proxies} proxies to {site.backends} backends takes {bind_all / S:.0f} "
            "s of the channel: "
            f"{site.proxies * bind * S / BIND_ALL_TARGET_NS:.0f} lines a second would do it in "
            f"{BIND_ALL_TARGET_NS // S} s"
        )
    if site.pending_max and bind > site.pending_max * 0.6:
        warnings.append(
            f"one bind is {bind:.0f} lines of {site.pending_max:.0f} that may wait: proxies can "
            "hardly be bound"
        )
    return ChannelBudget(removal, bind_one, bind_all, warnings)

"""All tables of a controller, by zone, and how many lines a table may have.

Rule: a table has no more lines than the channel can bring to all proxies within 0.7 of the drain grace (or of
the time that a proxy may be without a backend, if that is shorter), since all proxies may come to one
controller at once. Where that is less than the whole list, `subsetting` divides a zone's lines among several
tables.

Inputs: the deployment's grace (ns), channel rate (lines a second) and number of proxies. Decides:
`lines_max`.
"""

from .subsetting import LINES_MIN, ZoneTables
from .units import SECOND

GRACE_SHARE = 0.7  # of the drain grace, within which all proxies have to be bound


class RoutingTables:
    """All tables of a controller, by zone.

    Args:
        context: `Context` of the controller.
    """

    def __init__(self, context):
        self.context = context
        self.zones = {}

    @property
    def all(self):
        """All `TableState`s, zone by zone."""
        return [table for zone in self.zones.values() for table in zone.tables]

    @property
    def are_subsets(self):
        """Whether some zone has more than one table."""
        return any(len(zone.tables) > 1 for zone in self.zones.values())

    def set_desired(self, zone, desired):
        """Sets a zone's wanted lines.

        Args:
            zone: `interface.Zone`.
            desired: `BackendState` -> weight.

        Returns:
            The zone's tables.
        """
        if zone not in self.zones:
            self.zones[zone] = ZoneTables(self.context)
        return self.zones[zone].assign(desired, self.lines_max(), self.usual_rates())

    def lines_max(self):
        """Lines of a table that the channel brings to all proxies in time; 0: any number.

        All proxies may come to one controller at once, and one that is not bound within the grace may still
        send to a backend that left.
        """
        deployment = self.context.deployment
        limits = [limit for limit in (deployment.drain_grace, deployment.no_backend_limit) if limit]
        time = min(limits, default=0)
        lines = GRACE_SHARE * deployment.channel_rate * time / SECOND / (deployment.proxies or 1)
        return max(LINES_MIN, int(lines - deployment.head - 2 - len(deployment.kinds))) if lines else 0

    def usual_rates(self):
        """Table -> usual requests a second of the proxies bound to it."""
        rates = dict.fromkeys(self.all, 0.0)
        for proxy in self.context.proxies:
            if proxy.table is not None:
                rates[proxy.table] += proxy.usual_rate
        return rates

    def table_for(self, proxy, joined, rates, removals_pending):
        """The table for a proxy that joins, or None (see `ZoneTables.table_for`).

        Args:
            proxy: `ProxyState`.
            joined: zone -> how many of its proxies are joined.
            rates: table -> usual requests a second of its proxies.
            removals_pending: whether removals wait.
        """
        zone = self.zones.get(proxy.zone)
        return zone and zone.table_for(proxy, joined[proxy.zone], rates, removals_pending)

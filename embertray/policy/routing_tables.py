"""All tables of a controller by zone, and the maximum number of lines per table.

Rule: a table has at most as many lines as the channel can deliver to all proxies within 0.7 of the drain
grace (or of the time that a proxy may be without a backend, if that is shorter), since all proxies may
connect to one controller at once. Where that is less than the whole list, `subsetting` divides the lines of a
zone among several tables.

Inputs: drain grace (ns), channel rate (lines a second) and number of proxies of the deployment. Output:
`lines_max`.
"""

from .subsetting import LINES_MIN, ZoneTables
from .units import SECOND

GRACE_SHARE = 0.7  # of the drain grace; all proxies have to be bound within it


class RoutingTables:
    """Holds all tables of a controller by zone.

    Args:
        context: `Context` of the controller.
    """

    def __init__(self, context):
        self.context = context
        self.zones = {}

    @property
    def all(self):
        """All `TableState`s, ordered by zone."""
        return [table for zone in self.zones.values() for table in zone.tables]

    @property
    def are_subsets(self):
        """Whether some zone has more than one table."""
        return any(len(zone.tables) > 1 for zone in self.zones.values())

    def set_desired(self, zone, desired):
        """Sets the desired lines of a zone.

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
        """Returns the maximum number of lines that the channel delivers to all proxies in time; 0: unlimited.

        All proxies may connect to one controller at once, and a proxy that is not bound within the drain
        grace may still send requests to a departed backend.
        """
        deployment = self.context.deployment
        limits = [limit for limit in (deployment.drain_grace, deployment.no_backend_limit) if limit]
        time = min(limits, default=0)
        lines = GRACE_SHARE * deployment.channel_rate * time / SECOND / (deployment.proxies or 1)
        return max(LINES_MIN, int(lines - deployment.head - 2 - len(deployment.kinds))) if lines else 0

    def usual_rates(self):
        """Returns table -> usual requests a second of the proxies bound to it."""
        rates = dict.fromkeys(self.all, 0.0)
        for proxy in self.context.proxies:
            if proxy.table is not None:
                rates[proxy.table] += proxy.usual_rate
        return rates

    def table_for(self, proxy, joined, rates, removals_pending):
        """Returns the table for a joining proxy, or None (see `ZoneTables.table_for`).

        Args:
            proxy: `ProxyState`.
            joined: zone -> number of its joined proxies.
            rates: table -> usual requests a second of its proxies.
            removals_pending: whether removals are pending.
        """
        zone = self.zones.get(proxy.zone)
        return zone and zone.table_for(proxy, joined[proxy.zone], rates, removals_pending)

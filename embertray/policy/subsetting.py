"""Subsetting: which of a zone's wanted lines stand in which of its tables, and which table a proxy gets.

Rule: a zone has one table of all ready backends where the channel can bring that to all proxies in time.
Where it can't, the zone has several tables, each with lines of every zone in proportion to the requests that
come to its proxies. A new backend goes to the table that lacks most; at each beat up to four lines move from
the table that has most over to one that lacks more than a quarter. A proxy that joins gets the table with the
fewest requests for what its lines can do. There are no more tables in use than one for five proxies: where
that makes larger subsets needed, they are larger. Nor are there so many that a backend would stand in fewer
than four used tables of all controllers: with 5 controllers of 20 used tables each there are at most 25
subsets. How many are used follows from an even part of all proxies; a controller to which more of a zone's
proxies have come uses more, one for five of them.

Inputs: wanted weights, lines that a table may have (0: any number), usual requests a second of each table's
proxies, joined proxies of the zone. Decides: `TableState.want` of each table, and the table of a joining
proxy.

Guards against proxies that are not bound within the drain grace and go on to send to backends that left:
whole tables for a large fleet take the channel longer than that. And against a controller that has the
proxies of others that ended, and none in some table: the backends of that table would get next to nothing.
"""

from .interface import Table
from .records.tables import TableState

LINES_MIN = 8  # lines of a table at the least
PROXIES_PER_TABLE_MIN = 5  # so that tables are shared
TABLES_PER_LINE_MIN = 4  # of all controllers; requests for one backend come by several tables
GROWTH_TO_SPLIT = 1.5  # times the tables there are, until there are more
DEMAND_FLOOR_SHARE = 0.25  # of the mean requests, counted for each table, as proxies join
DEFICIT_TO_MOVE = 0.25  # share of its lines' weight that a table lacks until one moves to it
MOVES_MAX = 4  # lines of a zone moved at a beat: each costs lines of the channel


class ZoneTables:
    """The tables of one zone's proxies.

    Args:
        context: `Context` of the controller.
    """

    def __init__(self, context):
        deployment = context.deployment
        per_table = max(1, deployment.controllers * PROXIES_PER_TABLE_MIN * len(deployment.zones))
        self.tables = []
        self._tables_max = max(1, deployment.proxies // per_table)
        self._tables_max_for_coverage = self._tables_max * deployment.controllers // TABLES_PER_LINE_MIN
        self._tables_in_use = 1  # the first so many tables are in use, at the least
        self._first_table_offset = context.draw()  # each controller begins at another table
        self._table_by_backend = {}  # backend -> the table its line stands in

    def assign(self, desired, lines_max, rates):
        """Gives each table its part of the wanted lines.

        Args:
            desired: `BackendState` -> weight.
            lines_max: lines of a table at the most; 0: any number.
            rates: table -> usual requests a second of its proxies.

        Returns:
            The zone's tables (`TableState`), their `desired` set.
        """
        self._add_tables(len(desired), lines_max)
        if len(self.tables) == 1:
            self.tables[0].desired = desired
            return self.tables
        self._table_by_backend = {
            one: table for one, table in self._table_by_backend.items() if one.state == "ready"
        }
        demand = self._demand(rates)
        for zone in dict.fromkeys(backend.zone for backend in desired):
            zone_weights = {backend: weight for backend, weight in desired.items() if backend.zone is zone}
            self._assign_zone(zone_weights, demand)
        for table in self.tables:
            moved = [one for one in table.sent if self._table_by_backend.get(one, table) is not table]
            table.desired = dict.fromkeys(moved, 0)
        for backend, weight in desired.items():
            self._table_by_backend[backend].desired[backend] = weight
        self._fill_empty_tables(desired)
        return self.tables

    def _add_tables(self, lines, lines_max):
        needed = max(1, -(-lines // lines_max)) if lines_max else 1
        if needed > self._tables_max_for_coverage:
            needed = min(needed, self._tables_max)
        if needed > GROWTH_TO_SPLIT * len(self.tables):
            self.tables += [TableState(Table()) for _ in range(needed - len(self.tables))]
            self._tables_in_use = min(needed, self._tables_max)

    def _demand(self, rates):
        """Table -> requests a second, an idle part of the mean added to each.

        All are alike while most tables have no proxies.
        """
        known = rates if self._tables_in_use == len(self.tables) else {}
        total = sum(known.get(table, 0.0) for table in self.tables) or 1.0
        floor = total / len(self.tables) * DEMAND_FLOOR_SHARE
        return {table: known.get(table, 0.0) + floor for table in self.tables}

    def _assign_zone(self, zone_weights, demand):
        """Places the new backends of one zone, then moves lines to tables that lack them.

        Args:
            zone_weights: backend -> weight, of one zone.
            demand: table -> requests a second.
        """
        weight_per_request = sum(zone_weights.values()) / sum(demand.values())
        deficit = {table: rate * weight_per_request for table, rate in demand.items()}
        for backend in [backend for backend in zone_weights if backend in self._table_by_backend]:
            deficit[self._table_by_backend[backend]] -= zone_weights[backend]
        new = [backend for backend in zone_weights if backend not in self._table_by_backend]
        for backend in sorted(new, key=lambda backend: (-zone_weights[backend], backend.tie_breaker)):
            table = max(deficit, key=deficit.get)
            self._table_by_backend[backend] = table
            deficit[table] -= zone_weights[backend]
        for _ in range(MOVES_MAX):
            receiver = max(deficit, key=deficit.get)
            if deficit[receiver] <= DEFICIT_TO_MOVE * demand[receiver] * weight_per_request:
                break
            if not self._move_line(zone_weights, deficit, receiver):
                break

    def _move_line(self, zone_weights, deficit, receiver):
        """Moves the line that evens out best from the table with most over; False if none would."""
        donor = min(deficit, key=deficit.get)
        gap = deficit[receiver] - deficit[donor]
        movable = [
            one
            for one, weight in zone_weights.items()
            if self._table_by_backend[one] is donor and weight < gap
        ]
        if not movable:
            return False
        backend = min(movable, key=lambda one: abs(zone_weights[one] - gap / 2))
        self._table_by_backend[backend] = receiver
        deficit[receiver] -= zone_weights[backend]
        deficit[donor] += zone_weights[backend]
        return True

    def _fill_empty_tables(self, desired):
        """Gives the best of the list to tables without a line.

        All lines of a table may leave at once, or wait while requests queue: its proxies would have no
        backend to pick.
        """
        best = sorted(desired, key=lambda backend: -desired[backend])[:LINES_MIN]
        for table in self.tables:
            if not any(table.desired.values()):
                table.desired.update({backend: desired[backend] for backend in best})

    def table_for(self, proxy, joined, rates, removals_pending):
        """The table for a proxy that joins: where fewest requests come for what the lines can do.

        Args:
            proxy: `ProxyState`.
            joined: how many proxies of the zone are joined.
            rates: table -> usual requests a second of its proxies.
            removals_pending: whether removals wait; a table that was never sent costs too much then.

        Returns:
            `TableState`, or None if no table has lines yet.
        """
        first = self._first_table_offset % max(1, len(self.tables))
        in_use = max(self._tables_in_use, joined // PROXIES_PER_TABLE_MIN)
        used = (self.tables[first:] + self.tables[:first])[:in_use]
        weights = {
            table: sum(table.desired.values())
            for table in used
            if table.sent or table.desired and not removals_pending
        }
        loads = {
            table: (rates.get(table, 0.0) + proxy.usual_rate) / (weight or 1e-9)
            for table, weight in weights.items()
        }
        return min(loads, key=loads.get, default=None)

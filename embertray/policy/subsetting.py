"""Subsetting: divides the desired lines of a zone among its tables, and assigns a table to each proxy.

Rule: a zone has one table with all ready backends if the channel can deliver it to all proxies in time.
Otherwise it has several tables, each with lines of every zone in proportion to the requests that its proxies
receive. A new backend is added to the table with the largest deficit. In each control cycle up to four lines
move from the table with the largest surplus to a table with a deficit of more than a quarter of its share. A
joining proxy gets the table with the fewest requests for the capacity of its lines. At most one table per
five proxies is in use; subsets grow where this limit requires it. Each backend is also listed in at least
four used tables over all controllers, which limits the number of subsets: 5 controllers with 20 used tables
each have at most 25. The number of tables in use assumes an even share of all proxies; a controller that more
of a zone's proxies have joined uses more tables, one per five proxies.

Inputs: desired weights, maximum number of lines per table (0: unlimited), usual requests a second of the
proxies of each table, joined proxies of the zone. Output: `TableState.desired` of each table, and the table
of a joining proxy.

Prevents two failures. Delivering whole tables to a large fleet takes the channel longer than the drain grace,
so proxies that are not bound in time keep sending to departed backends. And a controller that took over the
proxies of stopped controllers must leave no table without proxies: its backends would get almost no requests.
"""

from .interface import Table
from .records.tables import TableState

LINES_MIN = 8  # per table
PROXIES_PER_TABLE_MIN = 5  # proxies share tables
TABLES_PER_LINE_MIN = 4  # over all controllers; a backend receives requests by several tables
GROWTH_TO_SPLIT = 1.5  # ratio of needed to existing tables at which tables are added
DEMAND_FLOOR_SHARE = 0.25  # of the mean requests, added to each table for proxies that will join
DEFICIT_TO_MOVE = 0.25  # share of its target weight that a table lacks before a line moves to it
MOVES_MAX = 4  # lines of a zone per control cycle: each move costs channel lines


class ZoneTables:
    """The tables of one zone's proxies.

    Args:
        context: `Context` of the controller.
    """

    def __init__(self, context):
        deployment = context.deployment
        # proxies of the deployment for each table that a controller uses in a zone
        per_table = max(1, deployment.controllers * PROXIES_PER_TABLE_MIN * len(deployment.zones))
        self.tables = []
        self._tables_max = max(1, deployment.proxies // per_table)  # in use, for an even share of the proxies
        # with more, a backend would be in fewer than TABLES_PER_LINE_MIN used tables of all controllers
        self._tables_max_for_coverage = self._tables_max * deployment.controllers // TABLES_PER_LINE_MIN
        self._tables_in_use = 1  # minimum number of tables in use, counted from the first
        self._first_table_offset = context.draw()  # each controller starts at a different table
        self._table_by_backend = {}  # backend -> the table that has its line

    def assign(self, desired, lines_max, rates):
        """Divides the desired lines among the tables.

        Args:
            desired: `BackendState` -> weight.
            lines_max: maximum number of lines per table; 0: unlimited.
            rates: table -> usual requests a second of its proxies.

        Returns:
            The zone's `TableState`s with `desired` updated.
        """
        self._add_tables(len(desired), lines_max)
        if len(self.tables) == 1:
            self.tables[0].desired = desired
            return self.tables
        self._table_by_backend = {
            backend: table for backend, table in self._table_by_backend.items() if backend.state == "ready"
        }
        demand = self._demand(rates)
        for zone in dict.fromkeys(backend.zone for backend in desired):
            zone_weights = {backend: weight for backend, weight in desired.items() if backend.zone is zone}
            self._assign_zone(zone_weights, demand)
        for table in self.tables:
            moved = [
                backend for backend in table.sent if self._table_by_backend.get(backend, table) is not table
            ]
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
        """Returns table -> requests a second, plus a share of the mean as a minimum for each.

        All tables count the same while fewer are in use than exist, since most may have no proxies then.
        """
        known = rates if self._tables_in_use == len(self.tables) else {}
        total = sum(known.get(table, 0.0) for table in self.tables) or 1.0
        floor = total / len(self.tables) * DEMAND_FLOOR_SHARE
        return {table: known.get(table, 0.0) + floor for table in self.tables}

    def _assign_zone(self, zone_weights, demand):
        """Assigns the new backends of one zone to tables, then moves lines to tables with a deficit.

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
        """Moves the line that balances best from the table with the largest surplus.

        Returns:
            False if no line improves the balance.
        """
        donor = min(deficit, key=deficit.get)
        gap = deficit[receiver] - deficit[donor]
        movable = [
            backend
            for backend, weight in zone_weights.items()
            if self._table_by_backend[backend] is donor and weight < gap
        ]
        if not movable:
            return False
        backend = min(movable, key=lambda backend: abs(zone_weights[backend] - gap / 2))
        self._table_by_backend[backend] = receiver
        deficit[receiver] -= zone_weights[backend]
        deficit[donor] += zone_weights[backend]
        return True

    def _fill_empty_tables(self, desired):
        """Gives tables without a usable line the backends with the highest weights.

        All backends of a table may leave at once, or be held back while requests queue, which would leave its
        proxies without a backend.
        """
        best = sorted(desired, key=lambda backend: -desired[backend])[:LINES_MIN]
        for table in self.tables:
            if not any(table.desired.values()):
                table.desired.update({backend: desired[backend] for backend in best})

    def table_for(self, proxy, joined, rates, removals_pending):
        """Returns the table for a joining proxy: the one with the fewest requests for its capacity.

        Args:
            proxy: `ProxyState`.
            joined: number of joined proxies of the zone.
            rates: table -> usual requests a second of its proxies.
            removals_pending: whether removals are pending; a table that was never sent is too expensive then.

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

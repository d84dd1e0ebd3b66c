"""The routing tables of a FluidSimulation's proxies as arrays."""

import numpy as np


class FluidTables:
    """Weights, admission levels and retry levels, with a row for each proxy.

    Args:
        proxies: Number of proxies.
        kinds: The RequestKinds.
        site: The Site.

    Attributes:
        columns: Column of each backend, by name.
        weights: Part of a proxy's requests that goes to each backend; proxies x backends.
        levels: Admission levels, as requests a second or as a part, depending on the site; proxies x kinds.
        retry_levels: Retry levels; proxies x kinds.
        changed: Rows that are out of date.
    """

    def __init__(self, proxies, kinds, site):
        self.kinds = kinds
        self.site = site
        self.columns = {}
        self.weights = np.zeros((proxies, 0))
        self._free_level = np.inf if site.levels == "rate" else 1.0
        self.levels = np.full((proxies, len(kinds)), self._free_level)
        self.retry_levels = np.full((proxies, len(kinds)), site.base_retry)
        self.changed = set(range(proxies))

    def add_columns(self, names):
        """Adds backends.

        Args:
            names: Their names.
        """
        first = len(self.columns)
        self.columns.update((name, first + offset) for offset, name in enumerate(names))
        self.weights = append_columns(self.weights, len(names))

    def refresh(self, proxies):
        """Updates the rows that are out of date from the proxies' tables.

        Args:
            proxies: All FluidProxy items, by row.
        """
        for row in sorted(self.changed):
            routing_state = proxies[row].model.routing_state
            self._read_weights(row, routing_state)
            self._read_levels(row, routing_state)
        self.changed.clear()

    def _read_weights(self, row, routing_state):
        weights = self.weights[row]
        weights[:] = 0.0
        for name, weight in routing_state.routable_lines().items():
            weights[self.columns[name]] = weight
        total = weights.sum()
        if total > 0:
            weights /= total

    def _read_levels(self, row, routing_state):
        default = (self._free_level, self.site.base_retry)
        for k, kind in enumerate(self.kinds):
            level, retry_level = routing_state.levels.get(kind.external_id, default)
            self.levels[row, k] = self._free_level if self.site.levels == "none" else level
            self.retry_levels[row, k] = retry_level

    def admitted_part(self, flow, paused, step_s):
        """The part of the arriving requests that the proxies admit.

        Args:
            flow: Requests that arrive; proxies x kinds.
            paused: Which proxies' processes are stopped.
            step_s: Length of a step, seconds.

        Returns:
            Parts, 0 to 1; proxies x kinds.
        """
        if self.site.levels == "rate":
            quota = self.levels * step_s
            part = np.divide(np.minimum(flow, quota), flow, out=np.ones_like(flow), where=flow > 0)
        else:
            part = np.minimum(1.0, self.levels)
        without_backends = self.weights.sum(axis=1) <= 0
        return np.where((without_backends | paused)[:, None], 0.0, part)


def append_columns(array, count):
    """Appends columns of zeros.

    Args:
        array: An array of two dimensions.
        count: Number of columns.

    Returns:
        A new array.
    """
    return np.hstack([array, np.zeros((len(array), count))])

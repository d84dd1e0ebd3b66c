"""Filters the endpoint list before it reaches the policy, by how far it is trusted, without I/O.

At a start, the list on disk is used unchanged if it was confirmed recently. Otherwise each of its ready
backends is a candidate that load reports prove or refute (`verification`, `known_backend`), and proxies keep
their newer tables for a while (`table_retention`).

Once discovery answers, its list applies unless it is outdated (`discovery`, `catalog`, `tombstones`). A
sudden large loss has to be confirmed first (`loss_confirmation`).
"""

from embertray.controller.endpoint_list import UpdateKind

from . import description, persistence
from .catalog import BackendCatalog
from .decision import TrustDecision
from .discovery import DiscoveryMerge
from .loss_confirmation import LossConfirmation
from .snapshot_age import time_since
from .table_retention import TableRetention
from .verification import Verification


class Trust:
    """The trust rules of one controller.

    Args:
        drain_grace: The site's drain grace, ns.
        omission_removes: Whether a backend that a complete list lacks counts as removed.

    Attributes:
        catalog: The BackendCatalog.
        losses: The LossConfirmation.
        discovery: The DiscoveryMerge.
        retention: The TableRetention.
        verification: The Verification.
        age: Age of the oldest entry of the list on disk at the start, ns; None: unknown, or no list.
    """

    def __init__(self, drain_grace, omission_removes=True):
        self.catalog = BackendCatalog()
        self.losses = LossConfirmation(drain_grace, omission_removes)
        self.discovery = DiscoveryMerge(self.catalog, self.losses)
        self.retention = TableRetention()
        self.verification = Verification()
        self.age = None
        self._drain_grace = drain_grace

    @property
    def backends(self):
        """Name -> KnownBackend of all known backends."""
        return self.catalog.backends

    @property
    def tombstones(self):
        """The Tombstones of the recently removed backends."""
        return self.catalog.tombstones

    @property
    def epoch(self):
        """The newest version of the list so far."""
        return self.discovery.epoch

    @property
    def discovery_answered(self):
        """Whether discovery has answered since the start."""
        return self.discovery.answered

    # ---- the start

    def start(self, now, snapshot, clocks):
        """Loads the list on disk.

        Args:
            now: ns.
            snapshot: The newest Snapshot, or None.
            clocks: The current ClockReading.

        Returns:
            A TrustDecision with the entries that need no proof.
        """
        self.verification.started_at = now
        if snapshot is None:
            return TrustDecision(UpdateKind.CACHED, [])
        self.discovery.epoch = snapshot.epoch
        since_snapshot = time_since(snapshot, clocks)
        self.verification.inventory_clock = snapshot.inventory_clock + (since_snapshot or 0)
        entries = []
        for saved in snapshot.entries:
            backend = persistence.load_backend(snapshot, saved, since_snapshot)
            self.backends[saved.backend] = backend
            if not backend.candidate:
                entries.append(backend.entry)
        self._begin_retention()
        ages = [backend.age for backend in self.backends.values()]
        self.age = None if not ages or None in ages else max(ages)
        persistence.load_tombstones(now, snapshot, since_snapshot, self.tombstones)
        return TrustDecision(UpdateKind.CACHED, entries)

    def _begin_retention(self):
        backends = self.backends.values()
        self.retention.candidate_count = sum(backend.candidate for backend in backends)
        if any(backend.entry.state == "draining" for backend in backends):
            self.retention.limit_by_drain(self._drain_grace)

    # ---- table retention

    def retains_tables(self, now, fresh, proxy):
        """Returns whether a joined proxy keeps its tables for now.

        Args:
            now: ns.
            fresh: Whether the proxy has only its standing table.
            proxy: Its name.
        """
        return not fresh and not self.is_settled(now) and proxy not in self.retention.failing_proxies

    def is_settled(self, now):
        """Returns whether the list is reliable enough at `now` (ns) to bind all proxies to its backends."""
        if self.discovery_answered:
            return True
        return self.retention.has_ended(now - self.verification.started_at, self.proven_count())

    def proven_count(self):
        """Returns the number of proven candidates."""
        return sum(backend.proven for backend in self.backends.values())

    def describe(self, now):
        """Returns a text for operators that says how far the list is trusted at `now` (ns)."""
        return description.describe(self, now)

    # ---- load reports

    def observe(self, now, proxy, fresh, outcomes, requests=0):
        """Evaluates the evidence in one proxy's load report.

        Args:
            now: ns.
            proxy: The proxy's name.
            fresh: Whether the proxy has only its standing table.
            outcomes: BackendAttempts items.
            requests: Requests that arrived at the proxy.

        Returns:
            EndpointEntry items to forward as changes.
        """
        changes = []
        total_attempts = 0
        total_failed = 0
        for name, attempts, failed in outcomes:
            total_attempts += attempts
            total_failed += failed
            backend = self.backends.get(name)
            if backend is None:
                self._observe_unlisted(name, attempts, failed)
            elif change := backend.observe(now, attempts, failed, may_refute=not self.discovery_answered):
                changes.append(change)
        if not fresh:
            self.retention.observe_proxy(proxy, total_attempts, total_failed, requests)
        return changes

    def _observe_unlisted(self, name, attempts, failed):
        answers = attempts > failed
        if answers and not self.discovery_answered and name not in self.tombstones.entries:
            self.retention.unlisted_answering = True

    def proxy_left(self, proxy):
        """Removes a proxy (by name) whose stream ended."""
        self.retention.proxy_left(proxy)

    # ---- discovery

    def receive_update(self, now, kind, epoch, entries):
        """Processes a response of discovery; arguments and result as in DiscoveryMerge.receive."""
        return self.discovery.receive(now, kind, epoch, entries)

    # ---- time, disk and memory

    def apply_timers(self, now):
        """Processes the timers that are due at `now` (ns).

        Returns:
            EndpointEntry items to forward as changes: undecided candidates, or missing backends whose
            confirmation timed out, in state "gone".
        """
        if self.verification.is_due(now, self.backends):
            return self.verification.forward_undecided(now, self.backends)
        return self.catalog.remove(now, self.losses.expire(now, self.backends))

    def next_timer(self):
        """Returns when to call `apply_timers` next, ns; None: no timer is set."""
        if self.verification.is_waiting(self.backends):
            return self.verification.next_timer()
        return self.losses.next_timer()

    def make_snapshot(self, now, inventory_clock, clocks):
        """Returns the Snapshot for a later start.

        Args:
            now: ns.
            inventory_clock: The inventory's clock now, ns.
            clocks: The current ClockReading.
        """
        return persistence.make_snapshot(
            now, self.epoch, inventory_clock, clocks, self.backends, self.tombstones
        )

    def shed_memory(self):
        """Frees memory by dropping the older tombstones."""
        self.catalog.shed_memory()

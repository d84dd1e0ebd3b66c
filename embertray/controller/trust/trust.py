"""What the endpoint list is worth: stands between the list's messages and the policy, without I/O.

At a start, the list on disk counts as it is if it was confirmed lately. Else each of its ready backends is a
candidate that load reports prove or refute (`verification`, `known_backend`), and proxies keep their newer
tables for a while (`table_retention`).

Once discovery answers, what it lists counts, unless it is older than what is known (`discovery`, `catalog`,
`tombstones`). A sudden large loss is confirmed first (`loss_confirmation`).
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
        age: How old the oldest entry of the list on disk was at the start, ns; None: not known, or no list.
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
        """All known backends: name -> KnownBackend."""
        return self.catalog.backends

    @property
    def tombstones(self):
        """The removals of late: a Tombstones."""
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
        """Starts from the list on disk.

        Args:
            now: ns.
            snapshot: The newest Snapshot, or None.
            clocks: The ClockReading of now.

        Returns:
            A TrustDecision with the entries that count as they are.
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

    # ---- which proxies keep their tables

    def retains_tables(self, now, fresh, proxy):
        """Whether a joined proxy is left with its tables for now.

        Args:
            now: ns.
            fresh: The proxy holds its standing table only.
            proxy: Its name.
        """
        return not fresh and not self.is_settled(now) and proxy not in self.retention.failing_proxies

    def is_settled(self, now):
        """Whether the list is good enough at `now` (ns) to bind all proxies to tables made from it."""
        if self.discovery_answered:
            return True
        return self.retention.is_over(now - self.verification.started_at, self.proven_count())

    def proven_count(self):
        """Returns how many candidates are proven."""
        return sum(backend.proven for backend in self.backends.values())

    def describe(self, now):
        """Returns what the list is worth at `now` (ns) in words, for operators."""
        return description.describe(self, now)

    # ---- load reports

    def observe(self, now, proxy, fresh, outcomes, requests=0):
        """Weighs the evidence in one proxy's load report.

        Args:
            now: ns.
            proxy: The proxy's name.
            fresh: The proxy holds its standing table only.
            outcomes: BackendAttempts items.
            requests: Requests that came to it.

        Returns:
            EndpointEntry items to hand on as changes.
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
        """Forgets a proxy (by name) whose stream ended."""
        self.retention.proxy_left(proxy)

    # ---- discovery

    def receive_update(self, now, kind, epoch, entries):
        """Judges one answer of discovery; arguments and result as in DiscoveryMerge.receive."""
        return self.discovery.receive(now, kind, epoch, entries)

    # ---- time, disk and memory

    def apply_timers(self, now):
        """Does what is due at `now` (ns).

        Returns:
            EndpointEntry items to hand on as changes: candidates about which nothing was heard, or backends
            for which a second answer was waited for too long, as gone.
        """
        if self.verification.is_due(now, self.backends):
            return self.verification.forward_undecided(now, self.backends)
        return self.catalog.remove(now, self.losses.expire(now, self.backends))

    def next_timer(self):
        """Returns when `apply_timers` is to be called, ns; None: nothing is waited for."""
        if self.verification.is_waiting(self.backends):
            return self.verification.next_timer()
        return self.losses.next_timer()

    def make_snapshot(self, now, inventory_clock, clocks):
        """Makes the Snapshot that a later start needs.

        Args:
            now: ns.
            inventory_clock: The inventory's clock now, ns.
            clocks: The ClockReading of now.
        """
        return persistence.make_snapshot(
            now, self.epoch, inventory_clock, clocks, self.backends, self.tombstones
        )

    def shed_memory(self):
        """Frees memory: the older removals are forgotten."""
        self.catalog.shed_memory()

"""The entry point of one controller for its transports: admission, list trust and the core; without I/O.

Both the daemon's sockets and the emulator's event heap deliver messages to it.
"""

from typing import NamedTuple

from embertray.controller.channel.admission import Admission
from embertray.controller.stream.messages import LoadReport
from embertray.controller.trust import BackendAttempts, Trust
from embertray.controller.trust.snapshot_age import time_since

from .controller_core import ControllerCore

NO_CLOCK_READING = (0, "", 0)  # for a controller without snapshots


class InventoryClock(NamedTuple):
    """A reading of the inventory's clock.

    Attributes:
        inventory: The inventory's clock, ns.
        local: This process's clock at the same time, ns.
    """

    inventory: int
    local: int

    def at(self, now):
        """Returns the inventory's clock at `now` (ns of this process's clock)."""
        return self.inventory + now - self.local


class ControllerFrontend:
    """Receives the events of one controller's transports.

    Attributes:
        admission: The Admission.
        trust: The Trust.
        core: The ControllerCore.
        deferred_joins: Name -> Hello of the proxies that keep their tables until the list can be trusted.
    """

    def __init__(
        self,
        site,
        site_controller,
        seed,
        now,
        random,
        snapshot=None,
        clocks=NO_CLOCK_READING,
        core_class=ControllerCore,
        trust_class=Trust,
    ):
        """Creates a controller that starts with the list of a snapshot.

        Args:
            site: The Site.
            site_controller: The SiteController that describes this controller.
            seed: Seed of the policy's random numbers.
            now: ns.
            random: A function that returns random numbers from 0 to 1.
            snapshot: The newest Snapshot, or None.
            clocks: The current ClockReading.
            core_class: The class of the core.
            trust_class: The class of the trust rules.
        """
        self.admission = Admission(random)
        self.trust = trust_class(site.drain_grace, site.omission_removes)
        self.core = core_class(site, site_controller, seed, now, random)
        self.deferred_joins = {}
        decision = self.trust.start(now, snapshot, clocks)
        inventory_clock = snapshot.inventory_clock + (time_since(snapshot, clocks) or 0) if snapshot else 0
        self._inventory_clock = InventoryClock(inventory_clock, now)
        self.core.receive_list_update(now, "cached", inventory_clock, decision.entries)

    # ---- proxies

    def admit_proxy(self, now, name):
        """Admits a proxy that sent its hello at `now` (ns); returns None, or the Rejection."""
        return self.admission.admit(now, name, self.core.join_delay())

    def proxy_joined(self, now, hello):
        """Records that a proxy has joined.

        After a restart from an old list, a proxy whose table is newer than the list keeps it and joins the
        core once the list can be trusted (`advance`).

        Args:
            now: ns.
            hello: Its Hello.
        """
        if self.trust.retains_tables(now, hello.fresh, hello.proxy):
            self.deferred_joins[hello.proxy] = hello
        else:
            self.core.join(hello)

    def proxy_left(self, now, name):
        """Records that a joined proxy has left at `now` (ns)."""
        self.trust.proxy_left(name)
        if self.deferred_joins.pop(name, None) is None:
            self.core.proxy_left(now, name)

    def receive(self, now, hello, message):
        """Processes a message of a joined proxy.

        Args:
            now: ns.
            hello: The proxy's Hello, or an object with proxy, zone and fresh.
            message: A LoadReport or an Acknowledgement.
        """
        if isinstance(message, LoadReport):
            self._receive_report(now, hello, message)
        else:
            self.core.acknowledged(now, hello.proxy, message.nonce)

    def _receive_report(self, now, hello, report):
        outcomes = [BackendAttempts(totals.backend, totals.tries, totals.failed) for totals in report.met]
        requests = sum(totals.requests for totals in report.came)
        entries = self.trust.observe(now, hello.proxy, hello.fresh, outcomes, requests)
        if entries:
            self.forward_entries(now, "changes", entries)
        if hello.proxy not in self.deferred_joins:
            self.core.add_report(now, hello.proxy, hello.zone, report)

    # ---- the endpoint list

    def receive_update(self, now, kind, epoch, inventory_clock, entries):
        """Processes an update of the endpoint list.

        Args:
            now: ns.
            kind: The UpdateKind.
            epoch: Version of the list.
            inventory_clock: The inventory's clock when it sent the update, ns.
            entries: EndpointEntry items.

        Returns:
            Whether to request the complete list again.
        """
        decision = self.trust.receive_update(now, kind, epoch, entries)
        if kind != "failed":
            self._inventory_clock = InventoryClock(inventory_clock, now)
        self.forward_entries(now, decision.kind, decision.entries)
        return decision.request_complete

    def forward_entries(self, now, kind, entries):
        """Forwards entries of the list to the core.

        Args:
            now: ns.
            kind: The UpdateKind.
            entries: EndpointEntry items.
        """
        self.core.receive_list_update(now, kind, self._inventory_clock.at(now), entries)

    def make_snapshot(self, now, clocks):
        """Returns the Snapshot of `now` (ns) at a ClockReading."""
        return self.trust.make_snapshot(now, self._inventory_clock.at(now), clocks)

    # ---- time

    def advance(self, now):
        """Applies the trust rules' timers, then runs a step of the core.

        Args:
            now: ns.

        Returns:
            The Step.
        """
        self._join_deferred(now)
        entries = self.trust.apply_timers(now)
        if entries:
            self.forward_entries(now, "changes", entries)
        step = self.core.advance(now)
        if self.core.accounts.any_at_cap("list"):
            self.trust.shed_memory()
        return step

    def _join_deferred(self, now):
        """Joins the deferred proxies: all once the list is settled, before that those with failing tables."""
        if not self.deferred_joins:
            return
        settled = self.trust.is_settled(now)
        failing = self.trust.retention.failing_proxies
        for name in [name for name in self.deferred_joins if settled or name in failing]:
            self.core.join(self.deferred_joins.pop(name))

    def next_at(self):
        """Returns when to call `advance` next if no event occurs before, ns; None: not needed."""
        times = (self.core.next_at(), self.trust.next_timer())
        return min((time for time in times if time is not None), default=None)

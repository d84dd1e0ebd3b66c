"""Holds the parts of one controller and keeps them within their memory caps, without I/O."""

from embertray.common.memory import MemoryAccounts
from embertray.common.memory.caps import default_caps
from embertray.common.memory.purposes import CUT, DROP
from embertray.controller.channel.outbox import Outbox
from embertray.controller.channel.pacer import Pacer
from embertray.controller.channel.stall_watch import StallWatch
from embertray.controller.degradation import DegradationLadder
from embertray.controller.report_intake import ReportIntake
from embertray.controller.runner import Runner

from .memory_collections import memory_collections
from .nonce_ledger import NonceLedger
from .step import StreamCut

NS_PER_SECOND = 10**9
# Time below the memory cap after which deferred backends are requested: a complete list is expensive.
REFETCH_DELAY_NS = 10 * NS_PER_SECOND
# Interval between two removals of unreferenced identifiers, equal to the policy's.
FORGET_PERIOD_NS = 10 * NS_PER_SECOND

# Reasons for cutting a stream, as they appear in the log.
NONCES_OVERDUE = "the proxy has not acknowledged its nonces in time"
CHANNEL_AT_CAP = "the channel is at its memory cap and this proxy has the most waiting lines"


def _constant_half():
    return 0.5


class MemoryBoundRunner(Runner):
    """Runs the policy with the parts of a controller, within their memory caps.

    Attributes:
        site: The Site.
        kinds: Name -> RequestKind.
        outbox: The Outbox.
        pacer: The Pacer.
        intake: The ReportIntake.
        ladder: The DegradationLadder.
        accounts: The MemoryAccounts.
        nonces: The NonceLedger.
        stall_watch: The StallWatch.
        probes_in_flight: Backend's name -> when its probe began, ns.
        skipped_probes: Number of ordered probes that were skipped.
        deferred_entries: Backends that were ignored for lack of memory since the last complete list.
        extra_collections: A function that returns purpose -> further Collections, set by the caller.
        forget_at: Time of the next removal of unreferenced identifiers, ns.
    """

    def __init__(self, site, site_controller, seed, now, random=_constant_half):
        """Creates a controller.

        Args:
            site: The Site.
            site_controller: The SiteController that describes this controller.
            seed: Seed of the policy's random numbers.
            now: ns.
            random: A function that returns random numbers from 0 to 1.
        """
        super().__init__(seed, lambda identifiers: site.deployment(site_controller, identifiers), now)
        self.site = site
        self.kinds = {kind.external_id: kind for kind in site.kinds}
        self.outbox = Outbox(self.identifiers, site.head, {kind: kind.external_id for kind in site.kinds})
        self.outbox.unlimited_level = self.policy.context.unlimited_level if site.levels != "none" else 0.0
        self.pacer = Pacer(site.channel_rate, now)
        self.intake = ReportIntake(site.reports_rate, now, site.report_interval)
        self.ladder = DegradationLadder(site.kinds, site.report_interval, site.levels == "rate", now)
        self.accounts = MemoryAccounts({**default_caps(site), **site.caps}, random)
        self.nonces = NonceLedger(self.identifiers)
        self.stall_watch = StallWatch(now)
        self.probes_in_flight = {}
        self.skipped_probes = 0
        self.deferred_entries = 0
        self.extra_collections = dict
        self.forget_at = now + FORGET_PERIOD_NS
        self._refetch_at = 0  # ns

    # ---- the endpoint list

    def receive_list_update(self, now, how, clock=0, entries=()):
        """Processes an update of the endpoint list, as Runner.receive_list_update does.

        At the memory cap, new backends are deferred, so that the list cannot outgrow the memory. Updates and
        removals of known backends still apply, and the complete list is requested again later.
        """
        if how == "whole":
            self.deferred_entries = 0
        if self.accounts.any_at_cap("tables", "list"):
            known = [entry for entry in entries if entry.backend in self.identifiers.backends]
            deferred = len(entries) - len(known)
            self.deferred_entries += deferred
            self.accounts.by_purpose["list"].action_count += deferred
            entries = known
        super().receive_list_update(now, how, clock, entries)

    # ---- memory

    def collections(self):
        """Returns purpose -> Collections, of this controller and of its caller."""
        found = memory_collections(self)
        for purpose, extra in self.extra_collections().items():
            found.setdefault(purpose, []).extend(extra)
        return found

    def enforce_memory_caps(self, now, step):
        """Follows the instructions of the memory accounts, and removes unreferenced identifiers.

        Args:
            now: ns.
            step: The Step that receives the streams to cut and the notices.
        """
        if now >= self.forget_at:
            self.forget_at = now + FORGET_PERIOD_NS
            self.forget_unused()
            self._cut_overdue_proxies(now, step)
        for instruction in self.accounts.evaluate(now, self.collections):
            self._follow_instruction(instruction, step)
        step.notices = self.accounts.notices
        self.accounts.notices = []
        if self.accounts.any_at_cap("tables", "list"):
            self._refetch_at = now + REFETCH_DELAY_NS
        elif self.deferred_entries and now >= self._refetch_at:
            self.deferred_entries = 0
            step.refetch_list = True

    def _cut_overdue_proxies(self, now, step):
        """Cuts proxies that read but acknowledge nothing: the list of their nonces would grow without limit.

        It does so only if this process has not stalled: after a stall their acknowledgements may be unread.
        """
        if self.stall_watch.check_steady(now):
            step.cuts += [StreamCut(name, NONCES_OVERDUE) for name in self.nonces.overdue_proxies(now)]

    def _follow_instruction(self, instruction, step):
        account = self.accounts.by_purpose[instruction.purpose]
        if instruction.action == DROP and self.intake.waiting:
            entry_bytes = max(1.0, account.bytes_per_entry.get("waiting", 1.0))
            account.action_count += self.intake.drop_oldest(int(instruction.excess / entry_bytes) + 1)
        elif instruction.action == CUT:
            proxy = self.pacer.heaviest_proxy()
            if proxy is not None:
                account.action_count += 1
                step.cuts.append(StreamCut(proxy.external_id, CHANNEL_AT_CAP))

    def forget_unused(self):
        """Removes identifiers that the policy no longer uses, and the records kept for them."""
        waiting = self.intake.waiting_handles()
        tables = self.outbox.tables.values()

        def needed(handle):
            return (
                handle in waiting
                or handle in self.outbox.bound
                or any(handle in table.lines for table in tables)
            )

        for backend in self.forget(needed):
            self.outbox.withdrawn.pop(backend, None)
        # a dict keeps the memory of its largest size until it is copied
        for table in tables:
            table.lines = dict(table.lines)
            table.proxies = dict(table.proxies)
        self.outbox.bound = dict(self.outbox.bound)

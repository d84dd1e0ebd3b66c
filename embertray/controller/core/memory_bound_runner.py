"""The parts of one controller, kept within the caps of their memory accounts, without I/O."""

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
# Time that there has been capacity before deferred backends are requested, ns: a complete list is dear.
REFETCH_DELAY_NS = 10 * NS_PER_SECOND
# Time between two looks for identifiers that nothing refers to, ns: as often as the policy's sweep.
FORGET_PERIOD_NS = 10 * NS_PER_SECOND

# Reasons for which a stream is cut; operators read them in the log.
NONCES_OVERDUE = "it answers no nonces"
CHANNEL_AT_CAP = "the channel is at its memory cap, and most waits for this proxy"


def _constant_half():
    return 0.5


class MemoryBoundRunner(Runner):
    """The policy with a controller's parts, which are kept within their memory caps.

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
        skipped_probes: Probes that were ordered and skipped.
        deferred_entries: Backends that were not taken in for lack of memory, since the last complete list.
        extra_collections: A function that gives purpose -> further Collections, of whoever runs this.
    """

    def __init__(self, site, site_controller, seed, now, random=_constant_half):
        """Make a controller.

        Args:
            site: The Site.
            site_controller: Its SiteController that this is.
            seed: For the policy's random numbers.
            now: ns.
            random: A function that gives numbers from 0 to 1.
        """
        super().__init__(seed, lambda identifiers: site.deployment(site_controller, identifiers), now)
        self.site = site
        self.kinds = {kind.external_id: kind for kind in site.kinds}
        self.outbox = Outbox(self.identifiers, site.head, {kind: kind.external_id for kind in site.kinds})
        self.outbox.unlimited_level = self.module.context.unlimited if site.levels != "none" else 0.0
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
        """Takes in an update of the endpoint list, as Runner.receive_list_update does.

        Against a list that outgrows the memory: at the cap new backends are deferred. Known ones and removals
        pass, so that the rules for what is in service hold; the complete list is requested later.
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
        """Returns purpose -> Collections of this controller and of whoever runs it."""
        found = memory_collections(self)
        for purpose, extra in self.extra_collections().items():
            found.setdefault(purpose, []).extend(extra)
        return found

    def enforce_memory_caps(self, now, step):
        """Does what the memory accounts instruct, and forgets identifiers that nothing needs.

        Args:
            now: ns.
            step: The Step, which gets the streams to cut and the notices.
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
        """Cuts proxies that read but acknowledge nothing: each further nonce would be kept for them.

        Only when this process itself has run steadily: after a stall their acknowledgements may wait unread.
        """
        if self.stall_watch.is_steady(now):
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
        """Forgets what the policy has forgotten: identifiers, and what is stored beside them."""
        waiting = self.intake.waiting_backends()
        tables = self.outbox.tables.values()

        def needed(handle):
            return (
                handle in waiting
                or handle in self.outbox.bound
                or any(handle in table.lines for table in tables)
            )

        for backend in self.forget(needed):
            self.outbox.withdrawn.pop(backend, None)
        # a dict keeps the memory of its largest size until it is made anew
        for table in tables:
            table.lines = dict(table.lines)
            table.proxies = dict(table.proxies)
        self.outbox.bound = dict(self.outbox.bound)

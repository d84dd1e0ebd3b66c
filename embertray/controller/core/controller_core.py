"""One controller without I/O: what came in goes to the module, its orders leave as paced messages.

Whoever runs it (the daemon; later an emulator) calls `join`, `left`, `answered`, `sums`, `news` as things
happen, then `advance(now)` at once or at `next_at()`, and sends what that returns. Events between two
advances are one step.
"""

from collections import deque
from dataclasses import dataclass, field

from embertray.common.memory import MemoryAccounts
from embertray.common.memory.caps import PROBES_IN_FLIGHT_MAX, default_caps
from embertray.common.memory.purposes import CUT, DROP
from embertray.controller.channel.outbox import Outbox
from embertray.controller.channel.pacer import Pacer
from embertray.controller.channel.stall_watch import StallWatch
from embertray.controller.channel.timeouts import NONCE_TIMEOUT_NS
from embertray.controller.degradation import DegradationLadder
from embertray.controller.report_intake import Intake
from embertray.controller.runner import Runner
from embertray.policy import interface as i

from .memory_collections import collections

S = 10**9
# -- constants: value, unit, reason
RELIST = 10 * S  # ns that there has been room before held back backends are asked for: a whole list is dear
TIDY = 10 * S  # ns between looks for ids that nothing points at any more: as often as the module's sweep


@dataclass
class Step:
    """What an advance asks for. `leave`: (proxy name, Orders) that leave the channel now, in order."""

    leave: list = field(default_factory=list)
    subscribe: bool | None = None
    ask: bool = False
    probe: list = field(default_factory=list)  # backend ids
    said: list = field(default_factory=list)  # the module's log lines
    cut: list = field(default_factory=list)  # (proxy, why): streams to be cut
    relist: bool = False  # backends were held back and there is room again: ask for the whole
    notices: list = field(default_factory=list)  # CapNotice items
    change: object = None  # degradation.LevelChange: another level of service


class ControllerCore(Runner):
    """`site` is a site.Site, `me` one of its controllers; `chance` gives numbers from 0 to 1. The first thing
    to tell it is the list that it starts with: `news(now, "cached", ...)`, empty if there is none.
    """

    def __init__(self, site, me, seed, now, chance=lambda: 0.5):
        super().__init__(seed, lambda identifiers: site.deployment(me, identifiers), now)
        self.site = site
        self.kinds = {kind.external_id: kind for kind in site.kinds}
        self.outbox = Outbox(self.identifiers, site.head, {kind: kind.external_id for kind in site.kinds})
        self.pacer, self.intake = (
            Pacer(site.channel_rate, now),
            Intake(site.reports_rate, now, site.report_cycle),
        )
        self.ladder = DegradationLadder(site.kinds, site.report_cycle, site.levels == "rate", now)
        self.outbox.unlimited_level = self.module.context.unlimited if site.levels != "none" else 0.0
        self.stamps = {}
        self.open, self.refs, self.probing, self.tidy_at = {}, {}, {}, now + TIDY
        self.accounts = MemoryAccounts({**default_caps(site), **site.caps}, chance)
        self.stall_watch = StallWatch(now)
        self.more = dict  # purpose -> further collections, of whoever runs this
        self.held_back = self.skipped = self.room_at = 0

    # ---- the list

    def news(self, now, how, clock=0, entries=()):
        if how == "whole":
            self.held_back = 0
        if self.accounts.any_at_cap(
            "tables", "list"
        ):  # new ones wait; what is there and what goes is never held
            known = [e for e in entries if e.backend in self.identifiers.backends]
            self.held_back += len(entries) - len(known)
            self.accounts.by_purpose["list"].action_count += len(entries) - len(known)
            entries = known
        super().news(now, how, clock, entries)

    # ---- proxies

    def turn_away(self):
        """Ns that a proxy must stay away for lack of memory, or None."""
        return self.accounts.reject_join()

    def join(self, hello):
        proxy = self.identifiers.proxy(hello.proxy)
        self.outbox.proxy_joined(proxy)
        self.open[hello.proxy] = deque()
        self.pending_events.append(
            i.Joined(proxy, self.identifiers.zone(hello.zone), hello.rate, hello.fresh)
        )

    def left(self, now, name):
        proxy = self.identifiers.proxy(name)
        self.outbox.proxy_left(proxy)
        self.pacer.drop_proxy(now, proxy)
        self.intake.left(proxy)
        self.ladder.loss_meter.proxy_left(proxy)
        for nonce in self.open.pop(name, ()):
            self.settled(nonce)
        self.pending_events.append(i.Left(proxy))

    def answered(self, now, name, nonce):
        """The proxy has applied this nonce's message and all before it."""
        held, known = self.open.get(name, ()), self.identifiers.nonces.get(nonce)
        if known is None or nonce not in held:
            return
        self.pending_events.append(i.Answered(self.identifiers.proxy(name), known, now - self.stamps[nonce]))
        while held:
            first = held.popleft()
            self.settled(first)
            if first == nonce:
                break

    def settled(self, nonce):
        """One proxy less owes an answer; a nonce that nobody owes any more is forgotten."""
        self.refs[nonce] -= 1
        if not self.refs[nonce]:
            del self.refs[nonce], self.stamps[nonce], self.identifiers.nonces[nonce]

    def sums(self, now, name, zone, message):
        proxy = self.identifiers.proxy(name)
        self.intake.sums(
            now, proxy, self.identifiers.zone(zone), message, self.identifiers.backends.get, self.kinds.get
        )
        for came in message.came:
            if (kind := self.kinds.get(came.kind)) is not None:
                self.ladder.loss_meter.observe(
                    now,
                    proxy,
                    kind,
                    came.requests,
                    came.lost,
                    message.span,
                    self.outbox.ordered_level(proxy, kind),
                    came.repeats,
                )

    def probed(self, now, backend, answered, load=None):
        began = self.probing.pop(backend, now)
        took = now - began
        self.pending_events.append(i.ProbeDone(self.identifiers.backend(backend), answered, took, load or {}))

    # ---- time

    def advance(self, now):
        """One step if anything happened or is due; then what leaves the channel by now."""
        step = Step()
        self.stall_watch.is_steady(now)
        if (change := self.ladder.evaluate_if_due(now)) is not None:
            step.change = change
            self.outbox.retry_after, self.outbox.retry_limit = (
                self.ladder.retry_after,
                self.ladder.retry_limit,
            )
        if orders := self.run_step(now, self.intake.due(now)):
            for proxy, message, nonce in self.outbox.build_messages(now, orders):
                if nonce:
                    self.stamps[message.nonce] = now
                    self.refs[message.nonce] = self.refs.get(message.nonce, 0) + 1
                    self.open[proxy.external_id].append(message.nonce)
                self.pacer.enqueue(now, proxy, message.cost, message)
            self.ask(now, orders, step)
        self.mind(now, step)
        step.leave = [(proxy.external_id, message) for proxy, message in self.pacer.dequeue(now)]
        return step

    def ask(self, now, orders, step):
        for order in orders:
            if isinstance(order, i.Subscribe):
                step.subscribe = order.on
            elif isinstance(order, i.AskList):
                step.ask = True
            elif isinstance(order, i.Probe):
                if (
                    self.accounts.any_at_cap("probes")
                    or len(self.probing) >= PROBES_IN_FLIGHT_MAX
                    or self.ladder.gives_up("probes")
                ):
                    self.skipped += 1
                    self.accounts.by_purpose["probes"].action_count += 1
                elif order.backend.external_id not in self.probing:
                    self.probing[order.backend.external_id] = now
                    step.probe.append(order.backend.external_id)
            elif isinstance(order, i.Log):
                step.said.append(order.text)

    # ---- memory

    def collections(self):
        found = collections(self)
        for purpose, more in self.more().items():
            found.setdefault(purpose, []).extend(more)
        return found

    def mind(self, now, step):
        """The accounts' verdicts are carried out, and ids that nothing needs are forgotten."""
        if now >= self.tidy_at:
            self.tidy_at = now + TIDY
            self.tidy()
            if self.stall_watch.is_steady(now):
                step.cut += [
                    (name, "it answers no nonces")
                    for name, held in self.open.items()
                    if held and now - self.stamps[held[0]] > NONCE_TIMEOUT_NS
                ]
        for verdict in self.accounts.evaluate(now, self.collections):
            account = self.accounts.by_purpose[verdict.purpose]
            if verdict.action == DROP and self.intake.waiting:
                each = max(1.0, account.bytes_per_entry.get("waiting", 1.0))
                account.action_count += self.intake.drop_oldest(int(verdict.excess / each) + 1)
            elif verdict.action == CUT and (proxy := self.pacer.heaviest_proxy()) is not None:
                account.action_count += 1
                step.cut.append(
                    (proxy.external_id, "the channel is at its memory cap, and most waits for this proxy")
                )
        step.notices, self.accounts.notices = self.accounts.notices, []
        if self.accounts.any_at_cap("tables", "list"):
            self.room_at = now + RELIST
        elif self.held_back and now >= self.room_at:
            self.held_back, step.relist = 0, True

    def tidy(self):
        """What the module has forgotten goes here, too: identifiers, and what is kept beside them."""
        waiting, tables = self.intake.backends(), self.outbox.tables.values()
        gone = self.forget(
            lambda thing: (
                thing in waiting or thing in self.outbox.bound or any(thing in tab.lines for tab in tables)
            )
        )
        for backend in gone:
            self.outbox.withdrawn.pop(backend, None)
        for tab in self.outbox.tables.values():
            tab.lines, tab.proxies = dict(tab.lines), dict(tab.proxies)
        self.outbox.bound = dict(self.outbox.bound)

    def next_at(self):
        """When to advance again if nothing happens before, ns."""
        if self.pending_events:
            return 0
        times = [self.next_timer_at(), self.intake.next_at(), self.pacer.next_departure()]
        return min((t for t in times if t is not None), default=None)

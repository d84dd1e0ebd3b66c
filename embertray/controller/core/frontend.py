"""One controller behind its transports: the core, how far the list is trusted, which proxies are bound. No
I/O.

The daemon carries its verdicts over sockets, the emulator through an event heap: both run the same text.
"""

from embertray.controller.channel.admission import Admission
from embertray.controller.stream.messages import LoadReport
from embertray.controller.trust import BackendAttempts, Trust
from embertray.controller.trust.snapshot_age import time_since

from .controller_core import ControllerCore

S = 10**9


class ControllerFrontend:
    """`times`: the clocks as DurableSnapshots.clock_reading gives them; `snapshot`: the newest, or None."""

    def __init__(
        self, site, me, seed, now, chance, snapshot=None, times=(0, "", 0), core=ControllerCore, trust=Trust
    ):
        self.admission, self.trust = Admission(chance), trust(site.drain_grace, site.dropped_bind)
        self.core = core(site, me, seed, now, chance)
        self.held, self.told = {}, False  # proxies that are left with their tables: name -> Hello
        verdict = self.trust.start(now, snapshot, times)
        clock = snapshot.inventory_clock + (time_since(snapshot, times) or 0) if snapshot else 0
        self.heard_clock = clock, now
        self.core.news(now, "cached", clock, verdict.entries)

    # ---- proxies

    def hello(self, now, name):
        """None, or a Rejection: turned away."""
        return self.admission.admit(now, name, self.core.turn_away())

    def joined(self, now, hello):
        if self.trust.keeps_tables(now, hello.fresh, hello.proxy):
            self.held[hello.proxy] = hello
        else:
            self.core.join(hello)

    def left(self, now, name):
        self.trust.proxy_left(name)
        if self.held.pop(name, None) is None:
            self.core.left(now, name)

    def take(self, now, hello, message):
        """Sums or an Answer of a joined proxy."""
        if not isinstance(message, LoadReport):
            self.core.answered(now, hello.proxy, message.nonce)
            return
        entries = self.trust.observe(
            now,
            hello.proxy,
            hello.fresh,
            [BackendAttempts(m.backend, m.tries, m.failed) for m in message.met],
            sum(c.requests for c in message.came),
        )
        if entries:
            self.hand_on(now, "changes", entries)
        if hello.proxy not in self.held:
            self.core.sums(now, hello.proxy, hello.zone, message)

    # ---- the list

    def news(self, now, how, epoch, clock, entries):
        """What inventory/follow.py made of a message; True if the whole is to be asked for again."""
        verdict = self.trust.receive_update(now, how, epoch, entries)
        if how != "failed":
            self.heard_clock, self.told = (clock, now), True
        self.hand_on(now, verdict.kind, verdict.entries)
        return verdict.request_complete

    def hand_on(self, now, how, entries):
        clock, at = self.heard_clock
        self.core.news(now, how, clock + now - at, entries)

    def snapshot(self, now, times):
        clock, at = self.heard_clock
        return self.trust.make_snapshot(now, clock + now - at, times)

    # ---- time

    def advance(self, now):
        """The core's step. Who was left with its tables is bound when the list is good enough; who is missing
        is gone in the end.
        """
        if self.held:
            all_now = self.trust.is_settled(now)
            for name in [n for n in self.held if all_now or n in self.trust.retention.failing_proxies]:
                self.core.join(self.held.pop(name))
        if entries := self.trust.apply_timers(now):
            self.hand_on(now, "changes", entries)
        step = self.core.advance(now)
        if self.core.accounts.any_at_cap("list"):
            self.trust.shed_memory()
        return step

    def next_at(self):
        """When to advance again if nothing happens before, ns or None."""
        times = [t for t in (self.core.next_at(), self.trust.next_timer()) if t is not None]
        return min(times, default=None)

"""One controller without I/O: what came in goes to the module, its orders leave as paced messages.

Whoever runs it (the daemon; later an emulator) calls `join`, `left`, `answered`, `sums`, `news` as things happen, then
`advance(now)` at once or at `next_at()`, and sends what that returns. Events between two advances are one step.
"""
import heapq
from dataclasses import dataclass, field

from .. import interface as i
from ..channel.outbox import Outbox
from ..channel.pacer import Pacer
from ..choice import Controller
from ..door import Door
from ..reports.intake import Intake


@dataclass
class Step:
    """What an advance asks for. `leave`: (proxy name, Orders) that leave the channel now, in order."""
    leave: list = field(default_factory=list)
    subscribe: bool | None = None
    ask: bool = False
    probe: list = field(default_factory=list)       # backend ids
    said: list = field(default_factory=list)        # the module's log lines


class Instance:
    """`site` is a site.Site, `me` one of its controllers; `last` a LastList or None, `wall` ns since 1970."""

    def __init__(self, site, me, seed, now, last=None, wall=0):
        self.site, self.door = site, Door()
        self.kinds = {kind.door: kind for kind in site.kinds}
        deployment = site.deployment(me, self.door)
        self.module = Controller(seed, deployment, now)
        self.outbox = Outbox(self.door, site.head, {kind: kind.door for kind in site.kinds})
        self.pacer, self.intake = Pacer(site.channel_rate, now), Intake(site.reports_rate, now)
        self.todo, self.wakes, self.count = [], [], 0
        self.starts, self.state, self.stamps = {}, {}, {}
        self.steps = self.events = 0
        self.todo.append(i.ListNews("cached", self.from_disk(last, now, wall) if last else []))

    # ---- the list

    def from_disk(self, last, now, wall):
        """The last list's starts on our clock: the inventory's clock has gone on by as much as the wall's."""
        clock = last.clock + max(0, wall - last.wall)
        return [self.entry(now, clock, e) for e in last.entries]

    def entry(self, now, clock, e):
        """A start is mapped to our clock once, when it is first heard of: it must not wander with the delays."""
        heard, ours = self.starts.get(e.backend, (0, 0))
        if heard != e.started:
            ours = max(1, now - max(0, clock - e.started)) if e.started else 0
            self.starts[e.backend] = e.started, ours
        if e.state == "gone":
            self.state.pop(e.backend, None)
        else:
            self.state[e.backend] = e.state
        return i.Entry(self.door.backend(e.backend), self.door.zone(e.zone), e.state, ours, e.nominal)

    def news(self, now, how, clock=0, entries=()):
        if how == "whole":
            self.state = {}
        self.todo.append(i.ListNews(how, [self.entry(now, clock, e) for e in entries]))

    # ---- proxies

    def join(self, hello):
        px = self.door.proxy(hello.proxy)
        self.outbox.joined(px)
        self.todo.append(i.Joined(px, self.door.zone(hello.zone), hello.rate, hello.fresh))

    def left(self, now, name):
        px = self.door.proxy(name)
        self.outbox.left(px)
        self.pacer.drop(now, px)
        self.intake.left(px)
        self.todo.append(i.Left(px))

    def answered(self, now, name, mark):
        known = self.door.marks.get(mark)
        if known:
            self.todo.append(i.Answered(self.door.proxy(name), known, now - self.stamps.get(mark, now)))

    def sums(self, now, name, zone, message):
        self.intake.sums(now, self.door.proxy(name), self.door.zone(zone), message,
                         self.door.backend, self.kinds.get)

    def probed(self, backend, answered, took=0, load=None):
        self.todo.append(i.ProbeDone(self.door.backend(backend), answered, took, load or {}))

    # ---- time

    def advance(self, now):
        """One step if anything happened or is due; then what leaves the channel by now."""
        step = Step()
        while self.wakes and self.wakes[0][0] <= now:
            self.todo.append(i.WakeDue(heapq.heappop(self.wakes)[2]))
        self.todo += self.intake.due(now)
        if self.todo:
            todo, self.todo = self.todo, []
            self.steps += 1
            self.events += len(todo)
            orders = self.module.step(now, todo)
            for px, message, mark in self.outbox.post(now, orders):
                if mark:
                    self.stamps[message.mark] = now
                self.pacer.put(now, px, message.cost, message)
            self.ask(now, orders, step)
        step.leave = [(px.door, message) for px, message in self.pacer.leave(now)]
        return step

    def ask(self, now, orders, step):
        for order in orders:
            if isinstance(order, i.Wake):
                self.count += 1
                heapq.heappush(self.wakes, (now + max(1, order.after), self.count, order.label))
            elif isinstance(order, i.Subscribe):
                step.subscribe = order.on
            elif isinstance(order, i.AskList):
                step.ask = True
            elif isinstance(order, i.Probe):
                step.probe.append(order.backend.door)
            elif isinstance(order, i.Log):
                step.said.append(order.text)

    def next_at(self):
        """When to advance again if nothing happens before, ns."""
        if self.todo:
            return 0
        times = [self.wakes[0][0] if self.wakes else None, self.intake.next_at(), self.pacer.next_at()]
        return min((t for t in times if t is not None), default=None)

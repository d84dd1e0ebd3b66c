"""The module with its identifiers, timers and the mapping of starts. What happens is put to `pending_events`;
`run_step(now)` is one step.

Whoever builds on it (core.Instance for the daemon, node.Post for the platform) carries the orders on.
"""

import heapq

from embertray.policy import Controller, interface as i

from .identifiers import Identifiers


class Runner:
    """`deployment(identifiers)` gives what the module is told at its start. The first thing to tell it is the
    list that it starts with: `news(now, "cached", ...)`, empty if there is none. List entries have backend,
    zone, state, started, nominal.
    """

    def __init__(self, seed, deployment, now):
        self.identifiers = Identifiers()
        self.module = Controller(seed, deployment(self.identifiers), now)
        self.pending_events, self.timers, self.timers_set = [], [], 0
        self.start_times, self.state = {}, {}
        self.steps = self.events = 0

    def entry(self, now, clock, e):
        """A start is mapped to our clock once, when it is first heard of: it must not wander with the
        delays.
        """
        heard, ours = self.start_times.get(e.backend, (0, 0))
        if heard != e.started:
            ours = max(1, now - max(0, clock - e.started)) if e.started else 0
            self.start_times[e.backend] = e.started, ours
        if e.state == "gone":
            self.state.pop(e.backend, None)
        else:
            self.state[e.backend] = e.state
        return i.Entry(
            self.identifiers.backend(e.backend), self.identifiers.zone(e.zone), e.state, ours, e.nominal
        )

    def news(self, now, how, clock=0, entries=()):
        """`clock`: the list's own clock at `now`, ns."""
        if how == "whole":
            self.state = {}
        self.pending_events.append(i.ListNews(how, [self.entry(now, clock, e) for e in entries]))

    def run_step(self, now, late=()):
        """One step if anything happened or is due (`late`: further events, after the timers): its orders less
        its timers.
        """
        while self.timers and self.timers[0][0] <= now:
            self.pending_events.append(i.WakeDue(heapq.heappop(self.timers)[2]))
        self.pending_events += late
        if not self.pending_events:
            return []
        todo, self.pending_events = self.pending_events, []
        self.steps += 1
        self.events += len(todo)
        rest = []
        for order in self.module.step(now, todo):
            if isinstance(order, i.Wake):
                self.timers_set += 1
                heapq.heappush(self.timers, (now + max(1, order.after), self.timers_set, order.label))
            else:
                rest.append(order)
        return rest

    def forget(self, needed=lambda thing: False):
        """The module has forgotten who is gone for long: so do the identifiers, but for who is `needed`.
        Backends forgotten.
        """
        gone = []
        for name, backend in list(self.identifiers.backends.items()):
            if backend.actor is None and name not in self.state and not needed(backend):
                del self.identifiers.backends[name]
                self.start_times.pop(name, None)
                gone.append(backend)
        for name, proxy in list(self.identifiers.proxies.items()):
            if proxy.actor is None and not needed(proxy):
                del self.identifiers.proxies[name]
        # a dict keeps its largest table until it is made anew
        self.start_times, self.state, self.identifiers.backends, self.identifiers.proxies = map(
            dict, (self.start_times, self.state, self.identifiers.backends, self.identifiers.proxies)
        )
        return gone

    def next_timer_at(self):
        """When the next timer is due, ns or None; 0 if something waits already."""
        if self.pending_events:
            return 0
        return self.timers[0][0] if self.timers else None

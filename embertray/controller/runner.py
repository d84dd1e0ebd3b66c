"""The decision module with its identifiers, its timers and the mapping of backends' start times.

What happens is put to `pending_events`; `run_step(now)` hands it over. Whoever builds on it
(core.ControllerCore for the daemon, platform.protocol.PlatformController for the platform) carries the
orders on.
"""

import heapq

from embertray.policy import Controller, interface as i

from .identifiers import Identifiers


def _not_needed(_handle):
    return False


class Runner:
    """Runs one decision module.

    Its first event is the list that it starts with: `receive_list_update(now, "cached", ...)`, empty if there
    is none.

    Attributes:
        identifiers: The Identifiers of all that the module was notified of.
        module: The policy.Controller.
        pending_events: Events that wait for the next step.
        start_times: Backend's name -> (its start by the list's clock, the same by this process's), ns.
        state: Backend's name -> "ready" or "draining", of those on the list.
        steps: How many steps have run.
        events: How many events they had.
    """

    def __init__(self, seed, deployment, now):
        """Make the module.

        Args:
            seed: For its random numbers.
            deployment: Called with the Identifiers, gives the interface.Deployment.
            now: ns.
        """
        self.identifiers = Identifiers()
        self.module = Controller(seed, deployment(self.identifiers), now)
        self.pending_events = []
        self.timers = []  # heap of (when due, number of the timer, label)
        self.timer_count = 0
        self.start_times = {}
        self.state = {}
        self.steps = 0
        self.events = 0

    def to_endpoint(self, now, clock, listed):
        """The interface.Endpoint of a backend on the list.

        Its start is mapped to this process's clock once, when it is first named: it must not wander with the
        list's delays.

        Args:
            now: ns by this process's clock.
            clock: ns by the list's clock, at the same time.
            listed: Has backend, zone, state, started (ns by the list's clock; 0: long ago) and nominal.
        """
        known_start, start = self.start_times.get(listed.backend, (0, 0))
        if known_start != listed.started:
            start = max(1, now - max(0, clock - listed.started)) if listed.started else 0
            self.start_times[listed.backend] = listed.started, start
        if listed.state == "gone":
            self.state.pop(listed.backend, None)
        else:
            self.state[listed.backend] = listed.state
        return i.Endpoint(
            self.identifiers.backend(listed.backend),
            self.identifiers.zone(listed.zone),
            listed.state,
            start,
            listed.nominal,
        )

    def receive_list_update(self, now, how, clock=0, entries=()):
        """What the list tells waits for the next step.

        Args:
            now: ns by this process's clock.
            how: changes | whole | cached | failed, as in interface.EndpointListUpdate.
            clock: ns by the list's clock, at the same time.
            entries: Listed backends, as `to_endpoint` takes them.
        """
        if how == "whole":
            self.state = {}
        self.pending_events.append(
            i.EndpointListUpdate(how, [self.to_endpoint(now, clock, listed) for listed in entries])
        )

    def run_step(self, now, extra_events=()):
        """Run one step if anything happened or a timer is due.

        Args:
            now: ns.
            extra_events: Further events, after those of the timers.

        Returns:
            The module's orders, less those that set timers.
        """
        while self.timers and self.timers[0][0] <= now:
            self.pending_events.append(i.TimerFired(heapq.heappop(self.timers)[2]))
        self.pending_events += extra_events
        if not self.pending_events:
            return []
        events = self.pending_events
        self.pending_events = []
        self.steps += 1
        self.events += len(events)
        orders = []
        for order in self.module.step(now, events):
            if isinstance(order, i.SetTimer):
                self.timer_count += 1
                heapq.heappush(self.timers, (now + max(1, order.after), self.timer_count, order.label))
            else:
                orders.append(order)
        return orders

    def forget(self, needed=_not_needed):
        """Forget the identifiers of backends and proxies that the module has forgotten.

        Args:
            needed: Whether a handle is kept all the same.

        Returns:
            The backends forgotten.
        """
        forgotten = []
        for name, backend in list(self.identifiers.backends.items()):
            if backend.policy_state is None and name not in self.state and not needed(backend):
                del self.identifiers.backends[name]
                self.start_times.pop(name, None)
                forgotten.append(backend)
        for name, proxy in list(self.identifiers.proxies.items()):
            if proxy.policy_state is None and not needed(proxy):
                del self.identifiers.proxies[name]
        # a dict keeps the memory of its largest size until it is made anew
        self.start_times = dict(self.start_times)
        self.state = dict(self.state)
        self.identifiers.backends = dict(self.identifiers.backends)
        self.identifiers.proxies = dict(self.identifiers.proxies)
        return forgotten

    def next_timer_at(self):
        """When the next timer is due, ns, or None; 0 if something waits already."""
        if self.pending_events:
            return 0
        return self.timers[0][0] if self.timers else None

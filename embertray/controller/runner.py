"""Runs the policy, with its identifiers, its timers and the mapping of backends' start times.

Events are added to `pending_events`, and `run_step(now)` passes them to the policy. The subclasses
(core.ControllerCore for the daemon, platform.protocol.PlatformController for the platform) execute the
resulting orders.
"""

import heapq

from embertray.policy import Controller, interface as i

from .identifiers import Identifiers


def _not_needed(_handle):
    return False


class Runner:
    """Runs one instance of the policy (the decision module).

    Its first event must be the initial list: `receive_list_update(now, "cached", ...)`, with no entries if
    there is none.

    Attributes:
        identifiers: The Identifiers that map names and numbers to the policy's handles.
        policy: The policy.Controller.
        pending_events: Events that wait for the next step.
        timers: Heap of (due time in ns, number of the timer, label).
        timer_count: Number of timers that were set so far.
        start_times: Backend's name -> (its start by the list's clock, the same by this process's), ns.
        state: Backend's name -> "ready" or "draining", for the listed backends.
        steps: Number of steps so far.
        events: Number of events in these steps.
    """

    def __init__(self, seed, deployment, now):
        """Creates the policy.

        Args:
            seed: Seed of the policy's random numbers.
            deployment: Called with the Identifiers, returns the interface.Deployment.
            now: ns.
        """
        self.identifiers = Identifiers()
        self.policy = Controller(seed, deployment(self.identifiers), now)
        self.pending_events = []
        self.timers = []
        self.timer_count = 0
        self.start_times = {}
        self.state = {}
        self.steps = 0
        self.events = 0

    def to_endpoint(self, now, clock, listed):
        """Returns the interface.Endpoint of a listed backend.

        The start time is converted to this process's clock only once, when it is first listed; otherwise the
        list's varying delay would shift it.

        Args:
            now: ns by this process's clock.
            clock: ns by the list's clock, at the same time.
            listed: An object with backend, zone, state, started (ns by the list's clock; 0: long ago) and
                nominal.
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
        """Adds an update of the endpoint list to the events of the next step.

        Args:
            now: ns by this process's clock.
            how: changes | whole | cached | failed, as in interface.EndpointListUpdate.
            clock: ns by the list's clock, at the same time.
            entries: Listed backends, in the form that `to_endpoint` accepts.
        """
        if how == "whole":
            self.state = {}
        self.pending_events.append(
            i.EndpointListUpdate(how, [self.to_endpoint(now, clock, listed) for listed in entries])
        )

    def run_step(self, now, extra_events=()):
        """Runs one step if an event is pending or a timer is due.

        Args:
            now: ns.
            extra_events: Further events, added after those of the timers.

        Returns:
            The policy's orders, except those that set timers.
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
        for order in self.policy.step(now, events):
            if isinstance(order, i.SetTimer):
                self.timer_count += 1
                heapq.heappush(self.timers, (now + max(1, order.after), self.timer_count, order.label))
            else:
                orders.append(order)
        return orders

    def forget(self, needed=_not_needed):
        """Removes the identifiers of backends and proxies that the policy no longer uses.

        Args:
            needed: Called with a handle, returns whether to keep it nevertheless.

        Returns:
            The removed backends.
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
        # a dict keeps the memory of its largest size until it is copied
        self.start_times = dict(self.start_times)
        self.state = dict(self.state)
        self.identifiers.backends = dict(self.identifiers.backends)
        self.identifiers.proxies = dict(self.identifiers.proxies)
        return forgotten

    def next_timer_at(self):
        """Returns when the next timer is due, ns; 0: events are pending; None: there is no timer."""
        if self.pending_events:
            return 0
        return self.timers[0][0] if self.timers else None

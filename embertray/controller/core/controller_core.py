"""The core of one controller, without I/O: passes events to the policy and its orders to the paced channel.

The caller (the daemon or a simulation) calls `join`, `proxy_left`, `acknowledged`, `add_report` and
`receive_list_update` as events occur, then `advance(now)` at once or at `next_at()`, and carries out the
returned Step. All events between two calls of `advance` form one step.
"""

from embertray.common.memory.caps import PROBES_IN_FLIGHT_MAX
from embertray.controller.degradation.levels import PROBES
from embertray.policy import interface as i

from .memory_bound_runner import MemoryBoundRunner
from .step import ProxyOrders, Step


class ControllerCore(MemoryBoundRunner):
    """One controller: the policy with its channel, load reports, degradation levels and memory accounts.

    Its first event must be the initial list: `receive_list_update(now, "cached", ...)`, with no entries if
    there is none.
    """

    # ---- proxies

    def join_delay(self):
        """Returns the retry delay of a joining proxy while memory is short, ns; None: it may join."""
        return self.accounts.reject_join()

    def join(self, hello):
        """Records that a proxy has joined with the given Hello."""
        proxy = self.identifiers.proxy(hello.proxy)
        zone = self.identifiers.zone(hello.zone)
        self.outbox.proxy_joined(proxy)
        self.nonces.proxy_joined(hello.proxy)
        self.pending_events.append(i.ProxyJoined(proxy, zone, hello.rate, hello.fresh))

    def proxy_left(self, now, name):
        """Records that a joined proxy has left at `now` (ns)."""
        proxy = self.identifiers.proxy(name)
        self.outbox.proxy_left(proxy)
        self.pacer.drop_proxy(now, proxy)
        self.intake.proxy_left(proxy)
        self.ladder.loss_meter.proxy_left(proxy)
        self.nonces.proxy_left(name)
        self.pending_events.append(i.ProxyLeft(proxy))

    def acknowledged(self, now, name, nonce_id):
        """Records a proxy's acknowledgement of a nonce at `now` (ns), which covers all earlier nonces."""
        found = self.nonces.acknowledge(now, name, nonce_id)
        if found is not None:
            proxy = self.identifiers.proxy(name)
            self.pending_events.append(i.NonceAcknowledged(proxy, found.nonce, found.elapsed))

    def add_report(self, now, name, zone, report):
        """Processes a proxy's load report.

        Args:
            now: ns.
            name: The proxy's name.
            zone: Its zone's name.
            report: The LoadReport.
        """
        proxy = self.identifiers.proxy(name)
        zone = self.identifiers.zone(zone)
        self.intake.add_report(now, proxy, zone, report, self.identifiers.backends.get, self.kinds.get)
        for totals in report.came:
            kind = self.kinds.get(totals.kind)
            if kind is None:
                continue
            level = self.outbox.ordered_level(proxy, kind)
            self.ladder.loss_meter.observe(
                now, proxy, kind, totals.requests, totals.lost, report.span, level, totals.repeats
            )

    def probe_finished(self, now, backend, answered, load=None):
        """Records the result of a probe.

        Args:
            now: ns.
            backend: The backend's name.
            answered: Whether it accepted the connection.
            load: Its load values by name, if it reported any.
        """
        elapsed = now - self.probes_in_flight.pop(backend, now)
        handle = self.identifiers.backend(backend)
        self.pending_events.append(i.ProbeResult(handle, answered, elapsed, load or {}))

    # ---- time

    def advance(self, now):
        """Runs one step if an event or a timer is pending, and collects the messages that are due.

        Args:
            now: ns.

        Returns:
            The Step.
        """
        step = Step()
        # called at every step even though the result is unused: a long gap between calls counts as a stall
        self.stall_watch.check_steady(now)
        self._evaluate_degradation(now, step)
        orders = self.run_step(now, self.intake.release_due(now))
        if orders:
            self._enqueue_messages(now, orders)
            self._collect_instructions(now, orders, step)
        self.enforce_memory_caps(now, step)
        step.outgoing = [
            ProxyOrders(released.proxy.external_id, released.message) for released in self.pacer.dequeue(now)
        ]
        return step

    def next_at(self):
        """Returns when to call `advance` next if no event occurs before, ns; None: not needed."""
        if self.pending_events:
            return 0
        times = (self.next_timer_at(), self.intake.next_release(), self.pacer.next_release())
        return min((time for time in times if time is not None), default=None)

    def _evaluate_degradation(self, now, step):
        change = self.ladder.evaluate_if_due(now)
        if change is None:
            return
        step.level_change = change
        self.outbox.retry_after = self.ladder.retry_after
        self.outbox.retry_limit = self.ladder.retry_limit

    def _enqueue_messages(self, now, orders):
        for proxy, message, nonce in self.outbox.build_messages(now, orders):
            if nonce:
                self.nonces.record_sent(now, proxy.external_id, message.nonce)
            self.pacer.enqueue(now, proxy, message.cost, message)

    def _collect_instructions(self, now, orders, step):
        """Adds the orders that are not for proxies to the step."""
        for order in orders:
            if isinstance(order, i.Subscribe):
                step.subscribe = order.on
            elif isinstance(order, i.PollEndpointList):
                step.poll_list = True
            elif isinstance(order, i.Probe):
                self._begin_probe(now, order.backend.external_id, step)
            elif isinstance(order, i.Log):
                step.log_lines.append(order.text)

    def _begin_probe(self, now, backend, step):
        """Begins a probe unless limits or the degradation level forbid it, or one is in flight already."""
        if (
            self.accounts.any_at_cap("probes")
            or len(self.probes_in_flight) >= PROBES_IN_FLIGHT_MAX
            or self.ladder.disables(PROBES)
        ):
            self.skipped_probes += 1
            self.accounts.by_purpose["probes"].action_count += 1
        elif backend not in self.probes_in_flight:
            self.probes_in_flight[backend] = now
            step.probes.append(backend)

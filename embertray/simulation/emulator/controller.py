"""A simulated controller: its main loop and its streams to proxies are scheduled calls."""

from embertray.common.snapshots import CONFIRMATION_PERIOD_NS
from embertray.controller.channel.timeouts import PROBE_TIMEOUT_NS
from embertray.controller.core import ControllerFrontend

from .endpoint_list_client import EndpointListClient
from .snapshot_saver import SnapshotSaver


class SimulatedController:
    """One incarnation of a controller: the production frontend, driven by the engine.

    Args:
        simulation: The DaySimulation.
        name: The controller's name.
        description: The site's description of it.
        incarnation: Its number, from 0.
        snapshots: Its InMemorySnapshots, which outlive the process.

    Attributes:
        frontend: The production frontend, with the policy inside.
        streams: Joined proxies by name.
        alive: Whether the process runs; a frozen process is alive.
        frozen: Whether the process is stopped, as by SIGSTOP.
    """

    def __init__(self, simulation, name, description, incarnation, snapshots):
        now = simulation.engine.time
        random = simulation.random_streams.of("cuts", name, incarnation).random
        snapshot, _ = snapshots.load()
        self.simulation = simulation
        self.name = name
        self.frontend = ControllerFrontend(
            simulation.site,
            description,
            simulation.seed * 1000 + incarnation,
            now,
            random,
            snapshot,
            snapshots.clock_reading(),
            *simulation.controller_types,
        )
        self.streams = {}
        self.alive = True
        self.frozen = False
        self._deferred = []  # (callback, args) that arrived while frozen
        self._next_step_at = None  # ns; None: no step is scheduled
        self._last_step_at = now - simulation.site.tick
        self.saver = SnapshotSaver(self, snapshots)
        self.list_client = EndpointListClient(self, random)
        self.wake()
        self.saver.schedule(now + CONFIRMATION_PERIOD_NS)
        self.list_client.start()

    def call_when_running(self, callback, *args):
        """Calls now, or when the process continues; drops the call if the process is killed before.

        Args:
            callback: What to call.
            *args: Its arguments.
        """
        if self.frozen:
            self._deferred.append((callback, args))
        elif self.alive:
            callback(*args)

    def thaw(self):
        """Continues a frozen process: it handles what arrived meanwhile, in the order of arrival."""
        self.frozen = False
        deferred = self._deferred
        self._deferred = []
        for callback, args in deferred:
            self.call_when_running(callback, *args)
        self.wake()

    def kill(self):
        """Ends the process; its streams break."""
        self.alive = False
        self.list_client.disconnect()
        for proxy in list(self.streams.values()):
            proxy.break_stream()

    # ---- main loop

    def wake(self):
        """Schedules a step after an event, as soon as the site's tick allows."""
        self._schedule_step(self.simulation.engine.time)

    def _schedule_step(self, when):
        when = max(when, self._last_step_at + self.simulation.site.tick)
        if self._next_step_at is None or when < self._next_step_at:
            self._next_step_at = when
            self.simulation.engine.at(when, self._step, when)

    def _step(self, when):
        # An earlier step has replaced this one, or the process was killed.
        if self._next_step_at != when or not self.alive:
            return
        self._next_step_at = None
        if self.frozen:
            return
        now = self.simulation.engine.time
        self._last_step_at = now
        self._carry_out(now, self.frontend.advance(now))
        later = self.frontend.next_at()
        if later is not None:
            self._schedule_step(max(later, now))

    def _carry_out(self, now, step):
        """Carries out the result of a step of the core, in the same order as the daemon."""
        if step.level_change is not None:
            self.simulation.ladder.append((now, self.name, step.level_change))
        for name, orders in step.outgoing:
            if name in self.streams:
                self.streams[name].on_orders(self, orders)
        if step.subscribe is not None or step.poll_list:
            self.list_client.request(step.poll_list)
        if step.refetch_list:
            self.list_client.request(True)
        for name, _ in step.cuts:
            if name in self.streams:
                self.frontend.admission.record_cut(now, name)
                self.streams[name].break_stream()
        for backend in step.probes:
            self._probe(backend)

    def _probe(self, backend):
        """Probes a backend; the probe of a dead one fails by its timeout."""
        model = self.simulation.models.get(backend)
        healthy = model is not None and model.state != "dead"
        delay = 0 if healthy else PROBE_TIMEOUT_NS
        self.simulation.engine.after(delay, self.call_when_running, self._on_probe_result, backend, healthy)

    def _on_probe_result(self, backend, healthy):
        self.frontend.core.probe_finished(self.simulation.engine.time, backend, healthy)
        self.wake()

    # ---- proxies

    def join(self, proxy, hello):
        """Admits or rejects a proxy that has dialled.

        Args:
            proxy: The SimulatedProxy.
            hello: Its Hello.

        Returns:
            The time after which a rejected proxy may dial again, ns; None: it has joined.
        """
        rejection = self.frontend.admit_proxy(self.simulation.engine.time, proxy.name)
        if rejection:
            return rejection.retry_after
        old = self.streams.get(proxy.name)
        if old is proxy:
            self.frontend.proxy_left(self.simulation.engine.time, proxy.name)
        elif old is not None:
            old.break_stream()
        self.streams[proxy.name] = proxy
        self.frontend.proxy_joined(self.simulation.engine.time, hello)
        self.wake()
        return None

    def on_stream_closed(self, proxy):
        """Handles the end of a proxy's stream.

        Args:
            proxy: The SimulatedProxy.
        """
        if self.streams.get(proxy.name) is proxy:
            del self.streams[proxy.name]
            self.frontend.proxy_left(self.simulation.engine.time, proxy.name)
            self.wake()

    def on_message(self, proxy, session, message):
        """Handles a proxy's message, unless its stream has broken since.

        Args:
            proxy: The SimulatedProxy.
            session: The Hello of the stream that carried it.
            message: A LoadReport or an Acknowledgement.
        """
        if self.streams.get(proxy.name) is proxy and proxy.session is session:
            self.frontend.receive(self.simulation.engine.time, session, message)
            self.wake()

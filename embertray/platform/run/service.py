"""Runs the sockets, tasks and signal handling of a PlatformController.

All tasks belong to one task group. This module makes no decisions.
"""

import signal

import anyio
import structlog

from embertray.common.net.exceptions import AddressError
from embertray.common.net.http_client import HttpConnection
from embertray.platform.protocol.exceptions import ConfigurationError
from embertray.platform.protocol.limits import (
    CONNECT_TIMEOUT_NS,
    EVENT_STREAMS,
    FAULT_BACKOFF_NS,
    NS_PER_S,
    STEP_INTERVAL_NS,
)
from embertray.platform.protocol.platform_controller import PlatformController

from .list_connection import ListConnection
from .listener import ConnectionListener
from .relay_connections import RelayConnections


class Service:
    """Runs one controller.

    Attributes:
        configuration: The wire.ControllerConfiguration with the current addresses.
        controller: The PlatformController.
        address: The listening address; None before it listens.
    """

    def __init__(self, configuration, clock, net, load_configuration, log=None):
        """Create the controller; `run` starts it.

        Args:
            configuration: The wire.ControllerConfiguration.
            clock: A clock as in common/net/clock.py.
            net: Listens, dials and parses addresses, as TcpNet.
            load_configuration: Function that reloads the configuration; raises ConfigurationError.
            log: A structlog logger.

        Raises:
            SettingsError: a setting is invalid, or requires something that the protocol does not support.
        """
        self.configuration = configuration
        self.clock = clock
        self.net = net
        self.load_configuration = load_configuration
        self.log = (log or structlog.get_logger()).bind(controller=configuration.name)
        self.controller = PlatformController(configuration, clock.now(), clock.wall())
        self.step_requested = anyio.Event()
        self.listener = ConnectionListener(self.controller, clock, self.request_step, self.log)
        self.relay = RelayConnections(self.controller, clock, self.dial_relay, self.request_step, self.log)
        self.discovery = ListConnection(
            self.controller, clock, net, self.discovery_address, self.request_step, self.log
        )
        self.address = None

    def dial_relay(self):
        """Open a connection to the relay; returns an awaitable of an HttpConnection."""
        return HttpConnection.dial(self.net, self.configuration.relay.address, CONNECT_TIMEOUT_NS)

    def discovery_address(self):
        """The current address of discovery, as host:port."""
        return self.configuration.discovery

    # ---- lifecycle

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED, early_signals=None):
        """Run until cancelled.

        Args:
            task_status: Receives the address once the controller listens.
            early_signals: The EarlySignals, which handles SIGTERM and SIGINT and has recorded SIGHUP so far;
                without it, signals are not handled.

        Raises:
            OSError: listening on the address failed.
            AddressError: an address in the configuration is invalid.
        """
        self.check_addresses(self.configuration)
        listener = await self.net.listen(self.configuration.listen)
        self.address = listener.address
        try:
            async with anyio.create_task_group() as group:
                if early_signals:
                    await group.start(self.watch_hangups, early_signals)
                group.start_soon(self.run_forever, self.listener.accept, listener, group)
                group.start_soon(self.run_forever, self.run_steps)
                group.start_soon(self.run_forever, self.relay.run_calls)
                group.start_soon(self.run_forever, self.discovery.watch_list)
                for name in range(EVENT_STREAMS):
                    group.start_soon(self.run_forever, self.relay.run_event_stream, name)
                self.log.info("listening", address=self.address, list=len(self.controller.state))
                task_status.started(self.address)
                await anyio.sleep_forever()
        finally:
            with anyio.CancelScope(shield=True):
                await listener.aclose()

    async def run_forever(self, task, *arguments):
        """Run `task`, restarting it whenever it fails.

        An unexpected internal error is logged and only loses the task's current work. Ending the process
        would cost more, because it would have to start again.
        """
        while True:
            try:
                await task(*arguments)
            except Exception as error:
                self.log.error("internal error", task=task.__name__, exc_info=error)
                await anyio.sleep(FAULT_BACKOFF_NS / NS_PER_S)

    # ---- configuration

    async def watch_hangups(self, early_signals, *, task_status):
        """Take over the handling of SIGHUP and reload on each, including one that was received before."""
        with anyio.open_signal_receiver(signal.SIGHUP) as hangups:
            if early_signals.hangup_pending:
                self.on_hangup()
            task_status.started()
            async for _ in hangups:
                self.on_hangup()

    def on_hangup(self):
        """Reload the configuration; an internal error leaves the old one in force.

        `run_forever` is not used here: during its pause, SIGHUP would have no handler and end the process.
        """
        try:
            self.reload()
        except Exception as error:
            self.log.error("internal error", task="reload", exc_info=error)

    def check_addresses(self, configuration):
        """Check the addresses to connect to. Returns `configuration`. Raises AddressError."""
        for address in (configuration.discovery, configuration.relay.address):
            self.net.parse(address)
        return configuration

    def reload(self):
        """Apply the addresses of a reloaded configuration; an invalid one changes nothing."""
        try:
            new = self.check_addresses(self.load_configuration())
        except (ConfigurationError, AddressError) as error:
            self.log.error("the new configuration can't be used", why=str(error))
            return
        old = self.configuration
        self.configuration = new
        self.log.info("new configuration", discovery=new.discovery, relay=new.relay.address)
        if new.discovery != old.discovery:
            self.discovery.on_address_change()
        if new.relay.address != old.relay.address:
            self.relay.on_address_change()
        self.relay.call_ready.set()

    # ---- steps

    def request_step(self):
        """Request a step of the decision module."""
        self.step_requested.set()

    async def run_steps(self):
        """Run steps until cancelled; events that arrive together are handled in one step."""
        while True:
            self.step_requested = anyio.Event()
            now = self.clock.now()
            try:
                if self.controller.advance(now):
                    self.relay.call_ready.set()
            except Exception:
                # an internal error within a step leaves the module in an unknown state
                self.controller.restart_module(now)
                raise
            self.log_decisions()
            due = self.controller.next_step_at()
            if due is None:
                await self.step_requested.wait()
            else:
                with anyio.move_on_after(max(0, due - self.clock.now()) / NS_PER_S):
                    await self.step_requested.wait()
            await self.clock.sleep_until(now + STEP_INTERVAL_NS)

    def log_decisions(self):
        """Log the messages of the module."""
        texts = self.controller.log_texts
        self.controller.log_texts = []
        for text in texts:
            self.log.info("decision", says=text)

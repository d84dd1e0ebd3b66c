"""A subscriber's client: connects the Subscriber state machine with the network and saved state."""

from dataclasses import dataclass

import anyio
import structlog

from embertray.cluster.replication.instructions import CloseConnection, OpenConnection
from embertray.cluster.replication.subscriber import Subscriber
from embertray.common.net.tcp import TcpNet

from .connection import Traffic
from .durable_state import open_and_load
from .entry_log import log_entries
from .status import subscriber_status
from .subscriber_connection import SubscriberConnection
from .subscriber_saver import SubscriberSaver, restored_known_at, usable_state

NS_PER_S = 10**9


@dataclass(frozen=True)
class SubscriberSettings:
    """Names and addresses of one subscriber.

    Attributes:
        cluster: name of the cluster.
        name: name of this subscriber.
        replicas: name -> address of the replicas to follow, in order of preference.
    """

    cluster: str
    name: str
    replicas: dict


class SubscriberClient:
    """Runs one subscriber: its state machine, connection and saved state.

    Args:
        settings: a SubscriberSettings.
        clock: the process's clock.
        rng: a random.Random, seeded differently at each start.
        on_applied: on_applied(entries) is called with newly applied entries, in order; a value of None is a
            removal.
        on_restored: on_restored(entries) is called first, with the live entries that a previous process
            saved, if any.
        net: network used to connect; None for TCP.
        timing: a SubscriberTiming, None for the default.
        state_store: a StateStore of SubscriberState; None to keep nothing.
        log: a structlog logger, None for the default.
        budget: the FeedSettings that limit the bytes sent to this subscriber, None for the default.
    """

    def __init__(
        self,
        settings,
        clock,
        rng,
        on_applied=None,
        on_restored=None,
        net=None,
        timing=None,
        state_store=None,
        log=None,
        budget=None,
    ):
        self.settings = settings
        self.clock = clock
        self.rng = rng
        self.on_applied = on_applied
        self.on_restored = on_restored
        self.net = net or TcpNet()
        self.timing = timing
        self.state_store = state_store
        self.log = (log or structlog.get_logger()).bind(subscriber=settings.name)
        self.budget = budget
        self.traffic = Traffic()
        # created by `run`
        self.subscriber = None
        self.connection = None
        self.saver = None
        self.task_group = None
        self.timer_changed = anyio.Event()  # set when the timer has to expire earlier
        self.timer_at = 0  # ns when the timer expires

    # ---- queries

    @property
    def revision(self):
        """The revision up to which everything is applied; 0 before `run`."""
        return self.subscriber.revision if self.subscriber else 0

    @property
    def saves(self):
        """Number of saved states."""
        return self.saver.saves if self.saver else 0

    @property
    def save_fails(self):
        """Number of states that could not be saved."""
        return self.saver.save_fails if self.saver else 0

    def age(self):
        """Time in ns since it was certain that nothing newer was committed; None if it never was."""
        return self.subscriber.age(self.clock.now()) if self.subscriber else None

    def get(self, key):
        """The current Entry of a key at this subscriber, or None."""
        return self.subscriber.store.get(key)

    def live_entries(self):
        """The current entries of all live keys, in ascending revision order."""
        return self.subscriber.store.live_entries()

    def status(self):
        """The current SubscriberStatus."""
        return subscriber_status(self)

    # ---- lifecycle

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Runs until cancelled.

        Raises:
            FolderLockedError: another process uses the state folder.
            OSError: the state folder cannot be used.
        """
        state, _ = open_and_load(self.state_store, self.log)
        try:
            self._create_subscriber(usable_state(state, self.settings.cluster, self.log))
            async with anyio.create_task_group() as self.task_group:
                if self.saver is not None:
                    self.task_group.start_soon(self.saver.run)
                task_status.started()
                await self._run_timer()
        finally:
            if self.state_store is not None:
                self.state_store.close()

    def _create_subscriber(self, state):
        """Creates the state machine from the saved state of a previous process, if there is one."""
        saved_state = {}
        if state is not None:
            saved_state["entries"] = state.entries
            saved_state["revision"] = state.revision
            saved_state["known_at"] = restored_known_at(state, self.clock)
        self.subscriber = Subscriber(
            self.settings.cluster,
            self.settings.name,
            list(self.settings.replicas),
            self.clock.now(),
            self.rng,
            self.timing,
            self.budget,
            **saved_state,
        )
        self.connection = SubscriberConnection(
            self.subscriber,
            self.settings.replicas,
            self.clock,
            self.net,
            self.traffic,
            self._execute_actions,
            self.log,
        )
        if self.state_store is not None:
            self.saver = SubscriberSaver(self.subscriber, self.state_store, self.clock, self.log)
        live = self.subscriber.store.live_entries()
        log_entries(self.log, "restored", live)
        if live and self.on_restored is not None:
            self.on_restored(live)

    async def _run_timer(self):
        while True:
            self.timer_changed = anyio.Event()
            self.subscriber.advance(self.clock.now())
            self._execute_actions()
            self.timer_at = self.subscriber.next_at()
            wait_s = (self.timer_at - self.clock.now()) / NS_PER_S
            with anyio.move_on_after(max(0, wait_s)):
                await self.timer_changed.wait()

    # ---- instructions

    def _execute_actions(self):
        """Executes the actions that the state machine requested."""
        self._report_applied()
        actions = self.subscriber.actions
        self.subscriber.actions = []
        for action in actions:
            if isinstance(action, OpenConnection):
                self.task_group.start_soon(self.connection.open, action)
            elif isinstance(action, CloseConnection):
                self.connection.close(action)
            else:
                self.connection.send(action)
        if self.subscriber.next_at() < self.timer_at:
            self.timer_changed.set()

    def _report_applied(self):
        applied = self.subscriber.applied
        if not applied:
            return
        self.subscriber.applied = []
        log_entries(self.log, "applied", applied)
        if self.on_applied is not None:
            self.on_applied(applied)

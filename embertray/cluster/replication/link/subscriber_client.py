"""A process's task that follows the replicas: the connections and the saved state round Subscriber."""

from dataclasses import dataclass

import anyio
import structlog

from embertray.cluster.replication.messages import Unreadable, decode_to_subscriber
from embertray.cluster.replication.subscriber import Dial, Hang, Subscriber
from embertray.common.framing import PREFIX, BadFrame, Splitter
from embertray.common.net.exceptions import AddressError
from embertray.common.net.tcp import TcpNet

from .audit import log_entries
from .connection import BROKEN, TO_SUBSCRIBER_FRAME_MOST, Connection, Overflow, Traffic
from .saved import SubscriberState
from .status import SubscriberStatus, seconds

S = 10**9
QUEUED_MOST = 64  # messages that wait for a replica that reads slowly: it is left after its silence
SAVE_EVERY = 1 * S  # ns between two saves at the least
SAVE_AGE_EVERY = 15 * S  # ns after which the age is saved anew, though nothing changed


@dataclass(frozen=True)
class SubscriberSettings:
    """`replicas`: name -> address of the replicas to follow, in the order of preference."""

    cluster: str
    name: str
    replicas: dict


class SubscriberClient:
    """`on_applied(entries)` is called with the entries that are newly in force, in order; a value of None is
    a removal. `on_restored(entries)` is called first with what was kept from a former process, if anything
    was. `saved`: a SavedState of SubscriberState, or None. `budget`: a FeedPace with the bytes a second that
    are owed.
    """

    def __init__(
        self,
        settings,
        clock,
        chance,
        on_applied=None,
        on_restored=None,
        net=None,
        pace=None,
        saved=None,
        log=None,
        budget=None,
    ):
        self.settings, self.clock, self.chance = settings, clock, chance
        self.on_applied, self.on_restored = on_applied, on_restored
        self.net, self.pace, self.budget = net or TcpNet(), pace, budget
        self.saved, self.log = saved, (log or structlog.get_logger()).bind(subscriber=settings.name)
        self.traffic, self.subscriber, self.group = Traffic(), None, None
        self.connection, self.connection_number = None, 0
        self.poked, self.timer_at = anyio.Event(), 0
        self.saves = self.save_fails = 0

    # ---- what is asked of it

    @property
    def revision(self):
        """Everything up to here is applied; 0 before `run`."""
        return self.subscriber.revision if self.subscriber else 0

    def age(self):
        """ns since it was certain that nothing newer was committed; None if it never was."""
        return self.subscriber.age(self.clock.now()) if self.subscriber else None

    def get(self, key):
        """The Entry in force here, or None."""
        return self.subscriber.store.get(key)

    def live(self):
        """All entries in force here, by rising revision."""
        return self.subscriber.store.live()

    def status(self):
        """The SubscriberStatus now."""
        core = self.subscriber
        return SubscriberStatus(
            cluster=self.settings.cluster,
            name=self.settings.name,
            replica=core.replica if core else "",
            connected=bool(core and core.connected),
            revision=self.revision,
            digest=core.store.digest if core else 0,
            age_s=seconds(self.age()),
            keys=core.store.live_count if core else 0,
            saves=self.saves,
            save_fails=self.save_fails,
            counted=dict(core.counted) if core else {},
            traffic=self.traffic,
        )

    # ---- tasks

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Until cancelled. Raises FolderLockedError, OSError for the folder."""
        state = self._open()
        try:
            self._begin(state)
            async with anyio.create_task_group() as self.group:
                if self.saved is not None:
                    self.group.start_soon(self._keep_saving)
                task_status.started()
                await self._keep_time()
        finally:
            if self.saved is not None:
                self.saved.close()

    def _open(self):
        if self.saved is None:
            return None
        self.saved.open()
        state, passed = self.saved.load()
        for name, why in passed:
            self.log.error("a saved state can't be used", file=name, why=why)
        if state is not None and state.cluster != self.settings.cluster:
            self.log.error("the saved state is of another cluster", cluster=state.cluster)
            return None
        return state

    def _begin(self, state):
        settings, now = self.settings, self.clock.now()
        kept = {}
        if state is not None:
            kept = {
                "entries": state.entries,
                "revision": state.revision,
                "known_at": self._known_at(state, now),
            }
        names = list(settings.replicas)
        self.subscriber = Subscriber(
            settings.cluster, settings.name, names, now, self.chance, self.pace, self.budget, **kept
        )
        live = self.subscriber.store.live()
        log_entries(self.log, "restored", live)
        if live and self.on_restored is not None:
            self.on_restored(live)

    def _known_at(self, state, now):
        """By our clock; None if the wall clock went backwards since."""
        wall = self.clock.wall()
        if state.known_at is None or wall < state.saved_at:
            return None
        return now - (wall - state.known_at)

    async def _keep_time(self):
        while True:
            self.poked = anyio.Event()
            self.subscriber.advance(self.clock.now())
            self._act()
            self.timer_at = self.subscriber.next_at()
            wait = (self.timer_at - self.clock.now()) / S
            with anyio.move_on_after(max(0, wait)):
                await self.poked.wait()

    def _act(self):
        """Does what the core asks for."""
        core = self.subscriber
        if core.applied:
            applied, core.applied = core.applied, []
            log_entries(self.log, "applied", applied)
            if self.on_applied is not None:
                self.on_applied(applied)
        actions, core.actions = core.actions, []
        for action in actions:
            if isinstance(action, Dial):
                self.group.start_soon(self._connect, action.replica, action.number)
            elif isinstance(action, Hang):
                self._hang(action)
            elif self.connection is not None and action.number == self.connection_number:
                self.connection.put(action.data)
        if core.next_at() < self.timer_at:
            self.poked.set()

    def _hang(self, action):
        self.log.debug("leaves a replica", why=action.why)
        if self.connection is not None and action.number == self.connection_number:
            self.connection.close()
            self.connection = None

    # ---- one connection

    async def _connect(self, replica, number):
        """Dials, and reads until the connection ends."""
        pace = self.subscriber.pace
        try:
            with anyio.fail_after(pace.dial / S):
                stream = await self.net.dial(self.settings.replicas[replica])
        except (*BROKEN, AddressError):
            self._lost(number)
            return
        connection = Connection(stream, self.traffic, QUEUED_MOST, Overflow.DROP_NEWEST)
        try:
            async with stream:
                with connection.scope:
                    async with anyio.create_task_group() as group:
                        group.start_soon(connection.write)
                        await self._read(connection, number)
        except* BROKEN:
            pass
        except* (BadFrame, Unreadable) as wrong:
            self.traffic.rejected += 1
            self.log.warning("a replica can't be read", replica=replica, why=str(wrong.exceptions[0]))
        if self.connection is connection:
            self.connection = None
        self._lost(number)

    async def _read(self, connection, number):
        core, splitter = self.subscriber, Splitter(TO_SUBSCRIBER_FRAME_MOST)
        core.dialled(self.clock.now(), number)
        if not core.connected or number != core.number:
            return  # it was given up while it was dialled
        self.connection, self.connection_number = connection, number
        self._act()
        while True:
            for data in await connection.read(splitter):
                size = len(data) + PREFIX.size
                core.receive(self.clock.now(), number, decode_to_subscriber(data), size)
            self._act()

    def _lost(self, number):
        self.subscriber.lost(self.clock.now(), number)
        self._act()

    # ---- what is kept

    async def _keep_saving(self):
        saved = (self.revision, self.subscriber.freshness.known_at)
        saved_at = self.clock.now()
        while True:
            await self.clock.sleep_until(self.clock.now() + SAVE_EVERY)
            now = self.clock.now()
            current = (self.revision, self.subscriber.freshness.known_at)
            aged = now - saved_at >= SAVE_AGE_EVERY and current != saved
            if current[0] == saved[0] and not aged:
                continue
            if await self._save(now):
                saved, saved_at = current, now

    async def _save(self, now):
        try:
            await anyio.to_thread.run_sync(self.saved.save, self._state(now))
        except OSError as wrong:
            self.save_fails += 1
            self.log.warning("what is held is not kept; what was kept before stands", why=str(wrong))
            return False
        self.saves += 1
        return True

    def _state(self, now):
        age, wall = self.subscriber.age(now), self.clock.wall()
        known_at = None if age is None else wall - age
        entries = list(self.subscriber.store.since(0))
        return SubscriberState(self.settings.cluster, self.revision, wall, known_at, entries)

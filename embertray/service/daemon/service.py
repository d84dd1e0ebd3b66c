"""One controller as a daemon: one task group; clock, net and snapshot store are handed in.

Its tasks run concurrently: the steps (`step_loop`), the streams of proxies (`proxy_streams`), the endpoint
list (`endpoint_list_client`), the snapshots (`snapshot_writer`), the operators' HTTP, and the tasks of sites
with a cluster or a control plane (`optional_tasks`). The controller's frontend makes all decisions.
"""

from contextlib import AsyncExitStack

import anyio
import structlog
from anyio.abc import TaskStatus

from embertray.common.net.process import resident_memory
from embertray.controller.channel.budget import channel_budget
from embertray.controller.core import ControllerCore, ControllerFrontend
from embertray.controller.trust import Trust
from embertray.service.admin.http import serve_admin

from .counters import ServiceCounters
from .endpoint_list_client import EndpointListClient
from .memory_report import memory_page, service_collections
from .optional_tasks import follow_control, run_cluster
from .proxy_streams import ProxyStreams
from .snapshot_writer import SnapshotWriter
from .step_loop import StepLoop


class Service:
    """The daemon of one controller.

    Attributes:
        site: The Site.
        me: The SiteController that this process runs.
        clock: Has now, wall and sleep_until, as LoopClock.
        net: Has listen and dial, as TcpNet.
        snapshot_store: Holds the snapshots, as DurableSnapshots.
        log: The logger, bound to the controller's name.
        proxies: The ProxyStreams.
        endpoint_list: The EndpointListClient.
        snapshots: The SnapshotWriter.
        counters: The ServiceCounters.
        faults: Code of a fault or rejection -> how many peers were sent it.
        stopping: Set by `stop`.
        listen: Address that proxies dial, once it runs.
        admin: Address of the operators' HTTP, once it runs.
        frontend: The ControllerFrontend, once it runs; `core`, `trust` and `admission` are its parts.
        cluster: The ClusterLink, on a site with a cluster, once it runs.
        control: The SubscriberClient, on a site with a control plane, once it runs.
        resident_at_start: Resident memory of the process once the controller was created, bytes.
    """

    def __init__(
        self,
        site,
        me,
        clock,
        net,
        snapshot_store,
        seed,
        chance,
        log=None,
        core_class=ControllerCore,
        trust_class=Trust,
    ):
        """Creates a daemon that does not run yet.

        Args:
            site: The Site.
            me: The SiteController that this process runs.
            clock: Has now, wall and sleep_until, as LoopClock.
            net: Has listen and dial, as TcpNet.
            snapshot_store: Holds the snapshots, as DurableSnapshots.
            seed: Seed of the policy's random numbers.
            chance: A function that returns random numbers from 0 to 1, for delays and backoff.
            log: A structlog logger; None: the default one.
            core_class: Class of the frontend's core, as ControllerCore.
            trust_class: Class that decides how far the endpoint list is trusted, as Trust.
        """
        self.site = site
        self.me = me
        self.clock = clock
        self.net = net
        self.snapshot_store = snapshot_store
        self.seed = seed
        self.log = (log or structlog.get_logger()).bind(controller=me.name)
        self.proxies = ProxyStreams(self)
        self.endpoint_list = EndpointListClient(self, chance)
        self.snapshots = SnapshotWriter(self)
        self.counters = ServiceCounters()
        self.faults = {}
        self.stopping = anyio.Event()
        self.listen = None
        self.admin = None
        self.frontend = None
        self.core = None
        self.trust = None
        self.admission = None
        self.cluster = None
        self.control = None
        self.resident_at_start = 0
        self._steps = StepLoop(self)
        self._chance = chance
        self._core_class = core_class
        self._trust_class = trust_class

    @property
    def streams(self):
        """Name -> ProxyStream of the proxies that have joined."""
        return self.proxies.by_name

    # ---- lifecycle

    async def run(self, *, task_status: TaskStatus = anyio.TASK_STATUS_IGNORED):
        """Runs until `stop`.

        Args:
            task_status: Its `started` is called with (listen address, admin address) once both are open.

        Raises:
            FolderLockedError: Another process uses the snapshots' folder.
            OSError: An address can't be listened on.
        """
        async with AsyncExitStack() as exit_stack:
            self.snapshot_store.open()
            exit_stack.callback(self.snapshot_store.close)
            self._start_controller()
            listener = await self._listen(self.me.listen, exit_stack)
            admin = await self._listen(self.me.admin, exit_stack)
            self.listen = listener.address
            self.admin = admin.address
            async with anyio.create_task_group() as group:
                self._start_tasks(group, listener, admin)
                task_status.started((self.listen, self.admin))
                await self.stopping.wait()
                if self.cluster and not self.cluster.membership.ended:
                    await self.cluster.leave()
                self.log.info("stopping", streams=len(self.streams))
                group.cancel_scope.cancel()

    async def _listen(self, address, exit_stack):
        """Returns a listener that `exit_stack` closes, also if a later part of the start fails."""
        listener = await self.net.listen(address)

        async def close():
            with anyio.CancelScope(shield=True):
                await listener.aclose()

        exit_stack.push_async_callback(close)
        return listener

    def stop(self):
        """Ends `run`."""
        self.stopping.set()

    def drain(self):
        """Begins a graceful shutdown of the proxies' streams."""
        self.admission.drain(self.clock.now())
        self.wake()

    def _start_controller(self):
        """Creates the controller's frontend from the newest snapshot that can be read."""
        snapshot, skipped = self.snapshot_store.load()
        for name, reason in skipped:
            self.log.error("snapshot skipped", file=name, why=reason)
        now = self.clock.now()
        self.frontend = ControllerFrontend(
            self.site,
            self.me,
            self.seed,
            now,
            self._chance,
            snapshot,
            self.snapshot_store.clock_reading(),
            self._core_class,
            self._trust_class,
        )
        self.core = self.frontend.core
        self.trust = self.frontend.trust
        self.admission = self.frontend.admission
        self.log.info("started", list=self.trust.describe(now))
        self.core.extra_collections = lambda: service_collections(self)
        self.resident_at_start = resident_memory()

    def _start_tasks(self, group, listener, admin):
        group.start_soon(self._steps.run, group)
        group.start_soon(listener.serve, self.proxies.serve, group)
        group.start_soon(admin.serve, lambda stream: serve_admin(self, stream), group)
        group.start_soon(self.endpoint_list.run)
        group.start_soon(self.snapshots.run)
        if self.site.cluster:
            group.start_soon(run_cluster, self)
        if self.site.control:
            group.start_soon(follow_control, self)
        for warning in channel_budget(self.site).warnings:
            self.log.warning("channel capacity is low", why=warning)
        self.log.info("listening", listen=self.listen, admin=self.admin)

    # ---- shared by the components

    def wake(self):
        """Wakes the step loop to handle a new event."""
        self._steps.wake()

    def count_fault(self, code):
        """Counts a fault or rejection by the code that the peer was sent."""
        self.faults[code] = self.faults.get(code, 0) + 1

    def memory(self):
        """Returns the content of the operators' memory page as a dict; sizes in bytes."""
        return memory_page(self)

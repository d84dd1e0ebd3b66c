"""The stage of a day on sockets or streams in memory: inventory, backends, controllers, proxies, clients."""

import anyio

from embertray.service.admin.client import send_request
from embertray.service.site.values import parse_duration
from embertray.simulation.models.backend import Backend
from embertray.simulation.standins.backend import StandinBackend
from embertray.simulation.standins.client import StandinClients
from embertray.simulation.standins.inventory import StandinInventory
from embertray.simulation.standins.proxy import StandinProxy
from embertray.simulation.standins.scheduler import Scheduler

from .exceptions import DayError
from .faults import Fault
from .observer import Observer
from .setup import PROXY_START_DELAY_NS, SETTLE_NS, ScenarioSetup

SECOND_NS = 10**9
PROGRESS_PERIOD_NS = SECOND_NS


class Stage(ScenarioSetup):
    """The stand-ins, controllers and clients of a day; faults act on it.

    Args:
        day: the Day.
        seed: the seed of all draws.
        net: TcpNet or MemoryNet.
        clock: its clock.
        controllers: InMemoryControllers, or controllers in processes.
        progress: called with (seconds played, seconds of the load, requests ended), or None.

    Raises:
        DayError: the day has delays between zones, which only the emulator plays.
    """

    def __init__(self, day, seed, net, clock, controllers, progress=None):
        super().__init__(day, seed)
        self.net = net
        self.clock = clock
        self.controllers = controllers
        self.progress = progress
        self.scheduler = Scheduler(clock)
        self.observer = Observer()
        self.clients = []  # (StandinClients, address of its proxy)
        self.group = None
        self.inventory = StandinInventory(
            net, self.scheduler, parse_duration(day.fleet["answers"]), self.observer.told
        )
        if parse_duration(day.fleet["cross"]):
            raise DayError(f"{day.name}: ways between zones (cross) are emulated only")

    async def build(self):
        """Starts everything but the load."""
        await self.group.start(self.inventory.run, "127.0.0.1:0")
        for n, zone, speed in self.draw_machines():
            await self.add(n, zone, speed, cold=False)
        self.site = self.site.at(inventory=self.inventory.address)
        await self.controllers.start(self)
        await self.clock.sleep_until(self.clock.now() + PROXY_START_DELAY_NS)
        await self.start_proxies()

    async def add(self, number, zone, speed, cold, listed=True):
        """Starts another backend; its name is the address that it listens on.

        Args:
            number: its number, for its draws.
            zone: its zone.
            speed: speed of its cores; 1.0 is the usual one.
            cold: whether it starts cold.
            listed: whether the inventory lists it as ready at once.

        Returns:
            The StandinBackend.
        """
        model = Backend("127.0.0.1:0", zone, self.shape(speed))
        backend = StandinBackend(
            model, self.net, self.scheduler, self.random_streams.of("failing", number).random
        )
        await self.group.start(backend.run)
        self.models[model.name] = model
        self.backends.append(backend)
        backend.start(cold)
        if cold:
            self.observer.note(self.clock.now(), "started", model.name)
        if listed:
            self.inventory.list(model.name, zone, "ready", self.clock.now() if cold else 0)
        return backend

    async def start_proxies(self):
        """Starts the proxies one after the other, and creates their clients."""
        now = self.clock.now()
        self.load_start = now
        ready = [backend.model for backend in self.backends]
        shares = self.draw_shares()
        mix = self.mix()
        addresses = self.controllers.addresses()
        spread = parse_duration(self.day.fleet["spread"])
        for n in range(self.count):
            self.proxies.append(self.make_proxy(n, shares[n], addresses, ready))
        for n, proxy in enumerate(self.proxies):
            address = await self.group.start(proxy.run)
            self.clients.append((self.make_clients(n, shares[n], mix), address))
            if spread and self.count > 1:
                await self.clock.sleep_until(now + spread * (n + 1) // self.count)

    def make_proxy(self, n, share, addresses, ready):
        """Creates proxy n, which gets `share` of the requests and dials the n-th controller address first."""
        rng = self.random_streams.of("proxy", n)
        zone = self.site.zones[n % len(self.site.zones)]
        proxy = StandinProxy(
            f"p{n + 1}",
            zone,
            self.site,
            addresses,
            self.net,
            self.scheduler,
            rng,
            self.day.rate * share,
            self.draw_standing_backends(rng, zone, ready),
            self.observer,
            self.channel_delay(n),
        )
        proxy.home = n % len(addresses)
        return proxy

    def make_clients(self, n, share, mix):
        """Creates the clients of proxy n."""
        return StandinClients(
            n + 1,
            mix,
            self.arrivals(n, self.day.rate * share),
            self.net,
            self.scheduler,
            self.random_streams.of("clients", n),
            int(self.day.load["retries"]),
            on_ended=self.observer.ended,
        )

    async def play(self):
        """Plays the day until some seconds after the last request."""
        async with anyio.create_task_group() as self.group:
            try:
                await self.build()
                await self.run_load()
                await self.clock.sleep_until(self.clock.now() + SETTLE_NS)
                self.observer.end(self.clock.now())
                await self.controllers.closing()
            finally:
                with anyio.CancelScope(shield=True):  # stops the controllers even if the day is cancelled
                    await self.controllers.stop()
                self.group.cancel_scope.cancel()

    async def run_load(self):
        """Runs clients and faults until all requests have ended."""
        end = self.load_start + self.day.lasts
        async with anyio.create_task_group() as load:
            for clients, address in self.clients:
                load.start_soon(clients.run, address, end)
            for fault in self.day.faults:
                self.group.start_soon(Fault(self, fault).run)
            if self.progress:
                self.group.start_soon(self.show_progress, end)

    async def show_progress(self, end):
        """Calls `progress` once a second; the load ends at `end` ns."""
        while True:
            now = self.clock.now()
            self.progress(
                (now - self.load_start) / SECOND_NS,
                (end - self.load_start) / SECOND_NS,
                len(self.observer.outcomes),
            )
            await self.clock.sleep_until(now + PROGRESS_PERIOD_NS)

    async def request_admin(self, name, method, target):
        """Sends a request to a controller's operators' address; returns (status, body)."""
        return await send_request(self.net, self.controllers.admin(name), method, target)

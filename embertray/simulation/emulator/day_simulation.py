"""Simulates a day without sockets: production controllers and models of everything else on one event heap.

Scenario texts, faults and models are the same as on sockets; a message is a scheduled call instead of bytes.
Days with faults that need byte streams (half a message, garbage) are rejected.
"""

from embertray.controller.core import ControllerCore
from embertray.controller.trust import Trust
from embertray.service.site.values import parse_duration
from embertray.simulation.models.backend import Backend
from embertray.simulation.models.client import Clients
from embertray.simulation.scenarios.faults import Fault
from embertray.simulation.scenarios.observer import Observer
from embertray.simulation.scenarios.setup import PROXY_START_DELAY_NS, SETTLE_NS, ScenarioSetup

from .backend import SimulatedBackend, backend_address
from .clients import SimulatedClients
from .controllers import SimulatedControllers
from .endpoint_list import SimulatedEndpointList
from .engine import NS_PER_SECOND, Engine
from .outcome_observer import OutcomeObserver
from .playable_days import check_playable
from .proxy import SimulatedProxy

# Initial time, ns; processes that started "long ago" started before it.
START_NS = 1000 * NS_PER_SECOND


class DaySimulation(ScenarioSetup):
    """All components of one simulated day.

    Args:
        day: The Day.
        seed: Seed of all random draws.
        core: Type of the controllers' core; None: the production one.
        trust: Type that judges the endpoint list in controllers; None: the production one.
        watched: Whether events are recorded, so that the rules can be checked.

    Attributes:
        engine: The Engine; also the clock and the scheduler of faults.
        observer: The Observer.
        backends_by_name: SimulatedBackend by name.
        cross_zone_delay: Delay of a message between zones, ns.
        ladder: (ns, controller name, LevelChange) of each change of the service level.
        inventory: The SimulatedEndpointList.
        controllers: The SimulatedControllers.

    Raises:
        DayError: The day needs byte streams or separate processes.
    """

    proxy = SimulatedProxy

    def __init__(self, day, seed, core=None, trust=None, watched=True):
        check_playable(day)
        super().__init__(day, seed)
        self.seed = seed
        self.controller_types = (core or ControllerCore, trust or Trust)
        self.watched = watched
        self.engine = Engine(START_NS)
        self.clock = self.engine
        self.scheduler = self.engine
        self.observer = Observer() if watched else OutcomeObserver()
        self.backends_by_name = {}
        self.cross_zone_delay = parse_duration(day.fleet["cross"])
        self.ladder = []
        self.inventory = SimulatedEndpointList(self, parse_duration(day.fleet["answers"]))
        self.controllers = SimulatedControllers(self)

    def network_delay(self, zone, other_zone):
        """One-way delay between a proxy and a backend.

        Args:
            zone: The zone of one of them.
            other_zone: The zone of the other.

        Returns:
            ns.
        """
        return self.cross_zone_delay if zone != other_zone else 0

    async def add(self, number, zone, speed, cold, listed=True):
        """Starts a new backend.

        Args:
            number: Its number, from 0.
            zone: Its zone.
            speed: Speed of its cores, in seconds of work a second.
            cold: Whether it starts now and needs to warm up; otherwise it started long ago.
            listed: Whether it is added to the endpoint list at once.

        Returns:
            The SimulatedBackend.
        """
        model = Backend(backend_address(number), zone, self.shape(speed))
        backend = SimulatedBackend(self, model, self.random_streams.of("failing", number).random)
        self.models[model.name] = model
        self.backends_by_name[model.name] = backend
        self.backends.append(backend)
        backend.start(cold)
        if cold:
            self.observer.note(self.engine.time, "started", model.name)
        if listed:
            self.inventory.list(model.name, zone, "ready", self.engine.time if cold else 0)
        return backend

    async def request_admin(self, name, method, target):
        """Handles the only admin request that faults make: setting the pace of a controller's channel.

        Args:
            name: The controller's name.
            method: The HTTP method, which is ignored.
            target: The request's target, with the pace after `=`.

        Raises:
            ConnectionRefusedError: The controller does not run.
        """
        controller = self.controllers.running.get(name)
        if controller is None:
            raise ConnectionRefusedError(name)
        controller.frontend.core.pacer.set_pace(self.engine.time, float(target.partition("=")[2]))
        controller.wake()

    async def run(self):
        """Sets up and runs the day, as a process of the engine."""
        for number, zone, speed in self.draw_machines():
            await self.add(number, zone, speed, cold=False)
        for name in self.controllers.at:
            await self.controllers.start_controller(name)
        await self.engine.sleep_until(self.engine.time + PROXY_START_DELAY_NS)
        self.load_start = self.engine.time
        shares = self.draw_shares()
        spread = parse_duration(self.day.fleet["spread"])
        self._add_proxies(shares, spread)
        self.prepare(shares)
        await self.engine.sleep_until(self.load_start + spread)
        self.load(shares, self.load_start + self.day.lasts)
        for fault in self.day.faults:
            self.engine.start(Fault(self, fault).run())

    def _add_proxies(self, shares, spread):
        """Adds all proxies; their first dials are spread evenly over `spread` ns."""
        ready = [backend.model for backend in self.backends]
        for index in range(self.count):
            proxy = self._make_proxy(index, self.day.rate * shares[index], ready)
            proxy.home = index % len(self.controllers.at)
            self.proxies.append(proxy)
            self.engine.at(self.load_start + spread * index // max(1, self.count), proxy.start)

    def _make_proxy(self, index, rate, ready):
        rng = self.random_streams.of("proxy", index)
        zone = self.site.zones[index % len(self.site.zones)]
        initial_backends = self.draw_standing_backends(rng, zone, ready)
        return self.proxy(self, f"p{index + 1}", zone, rate, rng, initial_backends, self.channel_delay(index))

    def prepare(self, shares):
        """Hook for subclasses, called when the proxies exist and none has dialled yet.

        Args:
            shares: Each proxy's share of the requests.
        """

    def load(self, shares, until):
        """Starts the clients, which send single requests.

        Args:
            shares: Each proxy's share of the requests.
            until: When the load ends, ns.
        """
        mix = self.mix()
        retries = int(self.day.load["retries"])
        for index, proxy in enumerate(self.proxies):
            rng = self.random_streams.of("clients", index)
            model = Clients(index + 1, mix, rng, retries)
            source = self.arrivals(index, self.day.rate * shares[index])
            SimulatedClients(self, model, source, proxy, rng, until).schedule_next()

    def play(self, progress=None):
        """Simulates the day, until the last requests must have ended.

        Args:
            progress: Called each simulated second with the seconds simulated, the seconds of the day and the
                number of requests that have ended; or None.

        Returns:
            The simulation itself.
        """
        engine = self.engine
        engine.start(self.run())
        engine.run(START_NS + PROXY_START_DELAY_NS)
        longest_timeout = max(kind.client_timeout for kind in self.site.kinds)
        load_end = self.load_start + self.day.lasts
        end = load_end + longest_timeout + SETTLE_NS
        while engine.time < end:
            engine.run(min(engine.time + NS_PER_SECOND, end))
            if progress:
                progress(
                    (engine.time - self.load_start) / NS_PER_SECOND,
                    self.day.lasts / NS_PER_SECOND,
                    len(self.observer.outcomes),
                )
        self.observer.end(engine.time)
        return self

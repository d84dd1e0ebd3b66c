"""The controllers of a simulated day by name."""

from embertray.common.snapshots import InMemorySnapshots
from embertray.simulation.scenarios.controller_starts import ControllerStarts
from embertray.simulation.standins.snapshot_aging import age_in_memory

from .controller import SimulatedController


class SnapshotClock:
    """The clocks that date snapshots: both show simulated time.

    Args:
        engine: The Engine.
    """

    def __init__(self, engine):
        self.engine = engine

    def now(self):
        """The monotonic clock.

        Returns:
            ns.
        """
        return self.engine.time

    def wall(self):
        """The wall clock.

        Returns:
            ns.
        """
        return self.engine.time


class SimulatedControllers(ControllerStarts):
    """All controllers by name; faults kill, freeze and restart them.

    Args:
        simulation: The DaySimulation.

    Attributes:
        at: Each controller's description in the site, by name.
        running: The running SimulatedController items by name.
        incarnations: Number of starts of each controller, by name.
        snapshots: InMemorySnapshots by name; they outlive a process.
        clock: The clock of the faults.
    """

    def __init__(self, simulation):
        self.simulation = simulation
        self.clock = simulation.clock
        self.at = {}
        self.running = {}
        self.incarnations = {}
        self.snapshots = {}
        snapshot_clock = SnapshotClock(simulation.engine)
        for description in simulation.site.controllers[: int(simulation.day.fleet["controllers"])]:
            self.at[description.name] = description
            self.snapshots[description.name] = InMemorySnapshots(snapshot_clock)

    async def start_controller(self, name):
        """Starts a controller, unless it runs.

        Args:
            name: Its name.
        """
        if name in self.running:
            return
        incarnation = self.incarnations.get(name, 0)
        self.incarnations[name] = incarnation + 1
        self.running[name] = SimulatedController(
            self.simulation, name, self.at[name], incarnation, self.snapshots[name]
        )

    def kill(self, name):
        """Kills a controller, if it runs.

        Args:
            name: Its name.
        """
        controller = self.running.pop(name, None)
        if controller is not None:
            controller.kill()

    def age(self, name, by, from_start):
        """Makes a controller's snapshot appear older than it is.

        Args:
            name: The controller's name.
            by: Additional age, ns.
            from_start: Whether to age the first snapshot, not the newest.
        """
        age_in_memory(self.snapshots[name], by, from_start)

    def freeze(self, name):
        """Stops a controller's process, if it runs; what arrives is deferred.

        Args:
            name: Its name.
        """
        if name in self.running:
            self.running[name].frozen = True

    def thaw(self, name):
        """Continues a controller's process, if it is frozen.

        Args:
            name: Its name.
        """
        if name in self.running and self.running[name].frozen:
            self.running[name].thaw()

"""The controllers of a day by name."""

from embertray.common.snapshots import InMemorySnapshots
from embertray.simulation.scenarios.starts import Starts
from embertray.simulation.standins.aged import age_in_memory

from .controller import SimulatedController


class SimulatedControllers(Starts):
    """All controllers by name: what faults kill, freeze and start again."""

    def __init__(self, simulation):
        self.simulation, self.at, self.running, self.lives, self.kept = simulation, {}, {}, {}, {}
        self.clock, clock = simulation.clock, self

        class Wall:
            now = staticmethod(lambda: clock.simulation.engine.time)
            wall = staticmethod(lambda: clock.simulation.engine.time)

        for me in simulation.site.controllers[: int(simulation.day.fleet["controllers"])]:
            self.at[me.name], self.kept[me.name] = me, InMemorySnapshots(Wall)

    async def up(self, name):
        if name not in self.running:
            life = self.lives.get(name, 0)
            self.lives[name] = life + 1
            self.running[name] = SimulatedController(
                self.simulation, name, self.at[name], life, self.kept[name]
            )

    def kill(self, name):
        con = self.running.pop(name, None)
        if con is not None:
            con.alive, con.line = False, None
            self.simulation.inventory.followers.pop(con, None)
            for proxy in list(con.streams.values()):
                proxy.break_stream()

    def age(self, name, by, from_start):
        age_in_memory(self.kept[name], by, from_start)

    def freeze(self, name):
        if name in self.running:
            self.running[name].frozen = True

    def thaw(self, name):
        if name in self.running and self.running[name].frozen:
            self.running[name].thaw()

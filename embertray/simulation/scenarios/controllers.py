"""The true controllers of a day in memory, under the virtual clock; as processes of their own:
rig/held.py.
"""

from dataclasses import replace
from functools import partial

import anyio

from embertray.common.snapshots import InMemorySnapshots
from embertray.controller.core import Instance
from embertray.controller.trust import Trust
from embertray.service.daemon import Service
from embertray.simulation.standins.aged import age_in_memory
from embertray.simulation.standins.virtual import Gate, GatedClock, GatedNet

from .starts import Starts


class InMemory(Starts):
    """Each controller a Service in a cancel scope, with a gate that shuts while it stands still."""

    def __init__(self, net, clock, seed, log, core=None, trust=None):
        self.net, self.clock, self.seed, self.log, self.core = net, clock, seed, log, core or Instance
        self.trust = trust or Trust
        self.stage, self.running, self.lives, self.kept, self.at, self.chance = None, {}, {}, {}, {}, {}

    async def start(self, stage):
        self.stage = stage
        for me in stage.site.controllers[: int(stage.day.fleet["controllers"])]:
            self.at[me.name] = replace(me, listen="127.0.0.1:0", admin="127.0.0.1:0")
            self.kept[me.name] = InMemorySnapshots(self.clock)
            await self.up(me.name)

    async def up(self, name):
        """Starts it, unless another fault has done so already."""
        if name in self.running:
            return
        gate, life = Gate(), self.lives.get(name, 0)
        self.lives[name] = life + 1
        net = GatedNet(self.net, gate)
        service = Service(
            self.stage.site,
            self.at[name],
            GatedClock(self.clock, gate),
            net,
            self.kept[name],
            self.seed * 1000 + life,
            self.stage.chance.of("cuts", name, life).random,
            self.log,
            self.core,
            self.trust,
        )
        scope = anyio.CancelScope()
        listen, admin = await self.stage.group.start(partial(self.live, service, scope))
        self.at[name] = replace(self.at[name], listen=listen, admin=admin)
        self.running[name] = service, scope, gate, net

    @staticmethod
    async def live(service, scope, task_status):
        with scope:
            await service.run(task_status=task_status)

    def addresses(self):
        return [at.listen for at in self.at.values()]

    def admin(self, name):
        return self.at[name].admin

    def kill(self, name):
        if name not in self.running:
            return
        _, scope, gate, net = self.running.pop(name)
        net.kill()
        gate.release()
        scope.cancel()

    def age(self, name, by, from_start):
        age_in_memory(self.kept[name], by, from_start)

    def freeze(self, name):
        if name in self.running:
            self.running[name][2].shut()

    def thaw(self, name):
        if name in self.running:
            self.running[name][2].release()

    async def closing(self):
        """The day is over, and all still run."""

    async def stop(self):
        for _name, (service, _, gate, _) in self.running.items():
            gate.release()
            service.stop()

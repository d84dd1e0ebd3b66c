"""The true controllers of a day in memory, under the virtual clock.

Controllers in processes of their own are those of simulation/processes/controller_processes.py.
"""

from dataclasses import replace
from functools import partial
from typing import NamedTuple

import anyio

from embertray.common.snapshots import InMemorySnapshots
from embertray.controller.core import ControllerCore
from embertray.controller.trust import Trust
from embertray.service.daemon import Service
from embertray.simulation.standins.process_gate import GatedClock, GatedNet, ProcessGate
from embertray.simulation.standins.snapshot_aging import age_in_memory

from .controller_starts import ControllerStarts

SEEDS_PER_DAY = 1000  # incarnations of a controller that get a seed of their own, a day's seed


class RunningController(NamedTuple):
    """A controller that runs.

    Attributes:
        service: its Service.
        scope: the cancel scope that it runs in.
        gate: shut while it stands still.
        net: its net, through the gate.
    """

    service: Service
    scope: anyio.CancelScope
    gate: ProcessGate
    net: GatedNet


class InMemoryControllers(ControllerStarts):
    """Each controller a Service in a cancel scope, with a gate that shuts while it stands still.

    Args:
        net: the net in memory.
        clock: the virtual clock.
        seed: the day's seed.
        log: the controllers' logger.
        core: a class in place of core.Instance.
        trust: a class in place of trust.Trust.
    """

    def __init__(self, net, clock, seed, log, core=None, trust=None):
        self.net = net
        self.clock = clock
        self.seed = seed
        self.log = log
        self.core = core or ControllerCore
        self.trust = trust or Trust
        self.stage = None
        self.running = {}  # name -> RunningController
        self.incarnations = {}  # name -> how often it was started
        self.snapshots = {}  # name -> InMemorySnapshots
        self.at = {}  # name -> its entry of the site, with the addresses that it listens on

    async def start(self, stage):
        """Starts the controllers of a stage."""
        self.stage = stage
        for me in stage.site.controllers[: int(stage.day.fleet["controllers"])]:
            self.at[me.name] = replace(me, listen="127.0.0.1:0", admin="127.0.0.1:0")
            self.snapshots[me.name] = InMemorySnapshots(self.clock)
            await self.start_controller(me.name)

    async def start_controller(self, name):
        """Starts a controller, unless another fault has done so already."""
        if name in self.running:
            return
        incarnation = self.incarnations.get(name, 0)
        self.incarnations[name] = incarnation + 1
        gate = ProcessGate()
        net = GatedNet(self.net, gate)
        service = Service(
            self.stage.site,
            self.at[name],
            GatedClock(self.clock, gate),
            net,
            self.snapshots[name],
            self.seed * SEEDS_PER_DAY + incarnation,
            self.stage.random_streams.of("cuts", name, incarnation).random,
            self.log,
            self.core,
            self.trust,
        )
        scope = anyio.CancelScope()
        listen, admin = await self.stage.group.start(partial(self.run_in_scope, service, scope))
        self.at[name] = replace(self.at[name], listen=listen, admin=admin)
        self.running[name] = RunningController(service, scope, gate, net)

    @staticmethod
    async def run_in_scope(service, scope, task_status):
        """Runs a Service until it ends or its scope is cancelled."""
        with scope:
            await service.run(task_status=task_status)

    def addresses(self):
        """The addresses that proxies dial, in the controllers' order."""
        return [at.listen for at in self.at.values()]

    def admin(self, name):
        """A controller's operators' address."""
        return self.at[name].admin

    def kill(self, name):
        """Ends a controller at once; its streams break."""
        if name not in self.running:
            return
        controller = self.running.pop(name)
        controller.net.kill()
        controller.gate.resume()
        controller.scope.cancel()

    def age(self, name, by, from_start):
        """Makes a controller's snapshot `by` ns older; `from_start`: its first one."""
        age_in_memory(self.snapshots[name], by, from_start)

    def freeze(self, name):
        """A controller that runs stands still from now on."""
        if name in self.running:
            self.running[name].gate.pause()

    def thaw(self, name):
        """A controller that stands still goes on."""
        if name in self.running:
            self.running[name].gate.resume()

    async def closing(self):
        """The day is over, and all still run."""

    async def stop(self):
        """Ends all that run, in good order."""
        for controller in self.running.values():
            controller.gate.resume()
            controller.service.stop()

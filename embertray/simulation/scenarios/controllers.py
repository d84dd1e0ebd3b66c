"""Real controllers of a day within this process, in virtual time.

simulation/processes/controller_processes.py has the controllers that run in processes of their own.
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

SEEDS_PER_DAY = 1000  # incarnations of a controller with a seed of their own, for each seed of a day


class RunningController(NamedTuple):
    """A running controller.

    Attributes:
        service: its Service.
        scope: the cancel scope that it runs in.
        gate: closed while it is paused.
        net: its network, behind the gate.
    """

    service: Service
    scope: anyio.CancelScope
    gate: ProcessGate
    net: GatedNet


class InMemoryControllers(ControllerStarts):
    """Controllers that run as a Service in a cancel scope each, behind a gate that pauses them.

    Args:
        net: the network in memory.
        clock: the virtual clock.
        seed: the day's seed.
        log: the controllers' logger.
        core: a class in place of ControllerCore.
        trust: a class in place of Trust.
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
        self.incarnations = {}  # name -> number of starts
        self.snapshots = {}  # name -> InMemorySnapshots
        self.at = {}  # name -> its entry in the site, with its listening addresses

    async def start(self, stage):
        """Starts the controllers of a stage."""
        self.stage = stage
        for me in stage.site.controllers[: int(stage.day.fleet["controllers"])]:
            self.at[me.name] = replace(me, listen="127.0.0.1:0", admin="127.0.0.1:0")
            self.snapshots[me.name] = InMemorySnapshots(self.clock)
            await self.start_controller(me.name)

    async def start_controller(self, name):
        """Starts a controller, unless another fault has started it already."""
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
        """Returns the addresses that proxies dial, in the order of the controllers."""
        return [at.listen for at in self.at.values()]

    def admin(self, name):
        """Returns a controller's operators' address."""
        return self.at[name].admin

    def kill(self, name):
        """Kills a controller; its streams break."""
        if name not in self.running:
            return
        controller = self.running.pop(name)
        controller.net.kill()
        controller.gate.resume()
        controller.scope.cancel()

    def age(self, name, by, from_start):
        """Makes a controller's latest snapshot `by` ns older; `from_start`: the first one instead."""
        age_in_memory(self.snapshots[name], by, from_start)

    def freeze(self, name):
        """Pauses a running controller."""
        if name in self.running:
            self.running[name].gate.pause()

    def thaw(self, name):
        """Resumes a paused controller."""
        if name in self.running:
            self.running[name].gate.resume()

    async def closing(self):
        """Called when the day is over, before the controllers are stopped."""

    async def stop(self):
        """Stops all running controllers regularly."""
        for controller in self.running.values():
            controller.gate.resume()
            controller.service.stop()

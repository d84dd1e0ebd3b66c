"""The controllers of a day as processes of their own, to which the day's faults are applied."""

from dataclasses import replace

import anyio

from embertray.simulation.claims.reachability import Reachability
from embertray.simulation.standins.snapshot_aging import age_on_disk

from .ports import free_ports
from .program import Program
from .site_description import write_site_description


class ControllerProcesses:
    """Runs each controller as an `embertray serve` process on loopback.

    Args:
        seed: seed of the controllers.
        folder: where site descriptions, logs and snapshots are written.
    """

    clustered = False
    links = None
    resource_usage = None  # the usage of each process, once the day is over

    def __init__(self, seed, folder):
        self.seed = seed
        self.folder = folder
        self.stage = None
        self.running = {}  # name -> Program
        self.at = {}  # name -> its SiteController, with the addresses of this run
        self.paused = set()  # names of the suspended processes
        self.claims = None

    async def start(self, stage):
        """Starts the controllers of a stage, all at once."""
        self.stage = stage
        chosen = stage.site.controllers[: int(stage.day.fleet["controllers"])]
        ports = iter(free_ports(3 * len(chosen)))
        for entry in chosen:
            listen, admin, cluster = (f"127.0.0.1:{next(ports)}" for _ in range(3))
            self.at[entry.name] = replace(
                entry, listen=listen, admin=admin, cluster=cluster if self.clustered else ""
            )
        await self.prepare()
        await self.start_all(self.at)

    async def prepare(self):
        """Hook for what is needed before the first process starts."""

    def write_description(self, name):
        """Writes the site description for one process, with the addresses of this run; returns the path."""
        return write_site_description(
            self.stage.sample,
            self.folder / f"{name}.xml",
            [
                (entry.name, entry.zone, entry.listen, entry.admin, self.cluster_address(name, entry))
                for entry in self.at.values()
            ],
            self.endpoint_list_address(name),
            self.folder / f"{name}.list",
            self.stage.day.fleet["period"] if self.clustered else None,
            self.stage.day.site_fields,
        )

    def endpoint_list_address(self, name):
        """Returns the address at which `name` reaches the endpoint list."""
        return self.stage.site.inventory

    def cluster_address(self, name, other):
        """Returns the cluster address at which `name` reaches `other`."""
        return other.cluster

    async def start_controller(self, name, paused_for=0):
        """Starts a process, unless it runs already; `paused_for`: ns for which it is suspended first."""
        if name in self.running:
            return
        self.running[name] = program = Program(
            self.folder / f"{name}.log", self.write_description(name), name, self.seed
        )
        if paused_for:
            program.pause()
            await anyio.sleep(paused_for / 1e9)
            program.resume()
        await program.wait_listening()
        self.notify(Reachability.process_started, name)

    async def start_all(self, names, paused_for=0):
        """Starts processes, all at once."""
        async with anyio.create_task_group() as group:
            for name in names:
                group.start_soon(self.start_controller, name, paused_for)

    start_delayed = start_all

    def notify(self, change, name):
        """Passes a process's state change to the claims; `change`: a method of Reachability."""
        if self.claims is not None:
            change(self.claims.reachability, self.stage.clock.now(), name)

    def addresses(self):
        """Returns the addresses that proxies dial, in the controllers' order."""
        return [at.listen for at in self.at.values()]

    def admin(self, name):
        """Returns the address of a process's admin pages."""
        return self.at[name].admin

    def kill(self, name):
        """Kills a process (SIGKILL), if it runs."""
        if name in self.running:
            self.paused.discard(name)
            self.running.pop(name).kill()
            self.notify(Reachability.process_ended, name)

    async def restart(self, name):
        """Terminates a process (SIGTERM), and starts it again once it has ended."""
        if name in self.running:
            program = self.running.pop(name)
            self.paused.discard(name)
            self.notify(Reachability.process_ended, name)
            program.terminate()
            await anyio.to_thread.run_sync(program.wait_ended)
        await self.start_controller(name)

    def age(self, name, by, from_start):
        """Makes a process's stored snapshot `by` ns older; `from_start`: its first one, not its newest."""
        age_on_disk(self.folder / f"{name}.list", by, from_start)

    def freeze(self, name):
        """Suspends a process (SIGSTOP) until `thaw`."""
        if name in self.running:
            self.paused.add(name)
            self.running[name].pause()
            self.notify(Reachability.process_paused, name)

    def thaw(self, name):
        """Resumes a suspended process (SIGCONT)."""
        if name in self.running:
            self.running[name].resume()
            self.paused.discard(name)
            self.notify(Reachability.process_resumed, name)

    async def closing(self):
        """Hook for the end of the day, while all processes still run."""

    async def stop(self):
        """Terminates all processes, and waits until they have ended."""
        for program in self.running.values():
            program.terminate()
        for program in self.running.values():
            await anyio.to_thread.run_sync(program.wait_ended)

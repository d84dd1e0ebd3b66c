"""A day's controllers as true processes of the program.

The faults of a day act on these.
"""

from dataclasses import replace

import anyio

from embertray.simulation.claims.reachability import Reachability
from embertray.simulation.standins.snapshot_aging import age_on_disk

from .ports import free_ports
from .program import Program
from .site_description import write_site_description


class ControllerProcesses:
    """Each controller `embertray serve` on loopback; killed, stopped and gone on with by its id."""

    clustered = False
    links = None
    resource_usage = None  # what each process used, once the day is over

    def __init__(self, seed, folder):
        self.seed = seed
        self.folder = folder
        self.stage = None
        self.running = {}  # name -> Program
        self.at = {}  # name -> its SiteController, with the addresses of this run
        self.paused = set()  # names of those that stand still
        self.claims = None

    async def start(self, stage):
        """All at once."""
        self.stage = stage
        chosen = stage.site.controllers[: int(stage.day.fleet["controllers"])]
        ports = iter(free_ports(3 * len(chosen)))
        for me in chosen:
            listen, admin, cluster = (f"127.0.0.1:{next(ports)}" for _ in range(3))
            self.at[me.name] = replace(
                me, listen=listen, admin=admin, cluster=cluster if self.clustered else ""
            )
        await self.prepare()
        await self.all_up(self.at)

    async def prepare(self):
        """What has to be there before the first process."""

    def write_description(self, name):
        """The day's site as a file, with the addresses of this run as this process is to know them."""
        return write_site_description(
            self.stage.sample,
            self.folder / f"{name}.xml",
            [
                (me.name, me.zone, me.listen, me.admin, self.cluster_address(name, me))
                for me in self.at.values()
            ],
            self.endpoint_list_address(name),
            self.folder / f"{name}.list",
            self.stage.day.fleet["period"] if self.clustered else None,
            self.stage.day.facts,
        )

    def endpoint_list_address(self, name):
        """Where `name` finds the endpoint list."""
        return self.stage.site.inventory

    def cluster_address(self, name, other):
        """Where `name` finds `other`'s cluster address."""
        return other.cluster

    async def up(self, name, paused_for=0):
        """Starts it, unless another fault has done so already; `still`: ns that it stands still first."""
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

    async def all_up(self, names, paused_for=0):
        """At once."""
        async with anyio.create_task_group() as group:
            for name in names:
                group.start_soon(self.up, name, paused_for)

    up_slowly = all_up

    def notify(self, change, name):
        """Tells the claims of a member's process; `change`: a method of Reachability."""
        if self.claims is not None:
            change(self.claims.reachability, self.stage.clock.now(), name)

    def addresses(self):
        """Where proxies dial, in the controllers' order."""
        return [at.listen for at in self.at.values()]

    def admin(self, name):
        """Where operators reach a process."""
        return self.at[name].admin

    def kill(self, name):
        """Ends a process at once (SIGKILL), if it runs."""
        if name in self.running:
            self.paused.discard(name)
            self.running.pop(name).kill()
            self.notify(Reachability.process_ended, name)

    async def restart(self, name):
        """By SIGTERM, and up again once it has ended."""
        if name in self.running:
            program = self.running.pop(name)
            self.paused.discard(name)
            self.notify(Reachability.process_ended, name)
            program.terminate()
            await anyio.to_thread.run_sync(program.wait_ended)
        await self.up(name)

    def age(self, name, by, from_start):
        """Makes what a process has on disk older."""
        age_on_disk(self.folder / f"{name}.list", by, from_start)

    def freeze(self, name):
        """A process stands still (SIGSTOP) until `thaw`."""
        if name in self.running:
            self.paused.add(name)
            self.running[name].pause()
            self.notify(Reachability.process_paused, name)

    def thaw(self, name):
        """A process goes on (SIGCONT) as if no time had passed."""
        if name in self.running:
            self.running[name].resume()
            self.paused.discard(name)
            self.notify(Reachability.process_resumed, name)

    async def closing(self):
        """The day is over, and all still run."""

    async def stop(self):
        """Asks all to end, and waits until they have."""
        for program in self.running.values():
            program.terminate()
        for program in self.running.values():
            await anyio.to_thread.run_sync(program.wait_ended)

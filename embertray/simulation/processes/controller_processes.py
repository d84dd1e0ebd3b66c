"""A day's controllers as true processes of the program, with or without the rig's links round them. What days
strike acts on these.
"""

from dataclasses import replace
from functools import partial

import anyio

from embertray.cluster.link.state_exchange import EXCHANGE_TIMEOUT_NS
from embertray.common.framing import Splitter
from embertray.controller.endpoint_list.messages import WatchEvent, decode_response
from embertray.service.site.site import time as span
from embertray.simulation.claims.cluster import ClusterClaims
from embertray.simulation.claims.reachability import Reachability
from embertray.simulation.standins.aged import age_on_disk

from .cluster_links import ClusterLinks
from .described import describe
from .ports import free_ports
from .program import Program
from .watch import SLACK, Watch


class ControllerProcesses:
    """Each controller `embertray serve` on loopback; killed, stopped and gone on with by its id."""

    clustered, links, used = False, None, None

    def __init__(self, seed, folder):
        self.seed, self.folder = seed, folder
        self.stage, self.running, self.at, self.still, self.claims = None, {}, {}, set(), None

    async def start(self, stage):
        """All at once."""
        self.stage, chosen = stage, stage.site.controllers[: int(stage.day.fleet["controllers"])]
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

    def described(self, name):
        """The day's site as a file, with the addresses of this run as this process is to know them."""
        return describe(
            self.stage.sample,
            self.folder / f"{name}.xml",
            [(me.name, me.zone, me.listen, me.admin, self.seen(name, me)) for me in self.at.values()],
            self.inventory(name),
            self.folder / f"{name}.list",
            self.stage.day.fleet["period"] if self.clustered else None,
            self.stage.day.facts,
        )

    def inventory(self, name):
        return self.stage.site.inventory

    def seen(self, name, other):
        """Where `name` finds `other`'s cluster address."""
        return other.cluster

    async def up(self, name, still=0):
        """Starts it, unless another fault has done so already; `still`: ns that it stands still first."""
        if name in self.running:
            return
        self.running[name] = program = Program(
            self.folder / f"{name}.log", self.described(name), name, self.seed
        )
        if still:
            program.stop()
            await anyio.sleep(still / 1e9)
            program.go_on()
        await program.listening()
        self.notify(Reachability.process_started, name)

    async def all_up(self, names, still=0):
        """At once."""
        async with anyio.create_task_group() as group:
            for name in names:
                group.start_soon(self.up, name, still)

    up_slowly = all_up

    def notify(self, change, name):
        """Tells the claims of a member's process; `change`: a method of Reachability."""
        if self.claims is not None:
            change(self.claims.reachability, self.stage.clock.now(), name)

    def addresses(self):
        """Where proxies dial, in the controllers' order."""
        return [at.listen for at in self.at.values()]

    def admin(self, name):
        return self.at[name].admin

    def kill(self, name):
        if name in self.running:
            self.still.discard(name)
            self.running.pop(name).kill()
            self.notify(Reachability.process_ended, name)

    async def restart(self, name):
        """By SIGTERM, and up again once it has ended."""
        if name in self.running:
            program = self.running.pop(name)
            self.still.discard(name)
            self.notify(Reachability.process_ended, name)
            program.ask_to_end()
            await anyio.to_thread.run_sync(program.ended)
        await self.up(name)

    def age(self, name, by, from_start):
        age_on_disk(self.folder / f"{name}.list", by, from_start)

    def freeze(self, name):
        if name in self.running:
            self.still.add(name)
            self.running[name].stop()
            self.notify(Reachability.process_paused, name)

    def thaw(self, name):
        if name in self.running:
            self.running[name].go_on()
            self.still.discard(name)
            self.notify(Reachability.process_resumed, name)

    async def closing(self):
        """The day is over, and all still run."""

    async def stop(self):
        for program in self.running.values():
            program.ask_to_end()
        for program in self.running.values():
            await anyio.to_thread.run_sync(program.ended)


class LinkedControllerProcesses(ControllerProcesses):
    """The same with a cluster (`clustered`), and with the rig's links between the processes, to the list and
    from the proxies.
    """

    def __init__(self, seed, folder, clustered=True):
        super().__init__(seed, folder)
        self.clustered, self.poor = clustered, set()

    async def start(self, stage):
        await super().start(stage)
        self.watch = Watch(self, stage.net, stage.clock, self.claims)
        stage.group.start_soon(self.watch.run)

    async def closing(self):
        self.used = await self.watch.used()

    async def prepare(self):
        to, taps = {}, {}
        self.stage.inventory.on_news = None  # what passed the link counts
        for name in self.at:
            to[name, "list"] = lambda: self.stage.inventory.address
            taps[name, "list"] = lambda name=name: partial(self.passed, name, Splitter())
            to["px", name] = lambda name=name: self.at[name].listen
        self.links = ClusterLinks(
            {name: int((at.cluster or "0:0").rpartition(":")[2]) for name, at in self.at.items()},
            self.seed,
            ("list", "px"),
            to,
            taps,
        )
        await self.stage.group.start(self.links.run)
        self.links.watching.append(self.bent)
        if self.clustered:
            self.claims = ClusterClaims(
                self.links, span(self.stage.day.fleet["period"]), EXCHANGE_TIMEOUT_NS, SLACK
            )

    def passed(self, name, splitter, data):
        """Bytes of the list that reach a controller."""
        for payload in splitter.feed(data):
            if isinstance(news := decode_response(payload), WatchEvent):
                self.stage.eyes.told(self.stage.clock.now(), name, news)

    def bent(self, at):
        """Proxies are not heard, or hear nothing, or late: what they do then is not their controller's
        doing.
        """
        for name in self.at:
            poor = not (self.links.way(name, "px").straight and self.links.way("px", name).straight)
            if poor != (name in self.poor):
                (self.poor.add if poor else self.poor.discard)(name)
                self.stage.eyes.note(at, "unheard" if poor else "heard", name)

    def inventory(self, name):
        return f"127.0.0.1:{self.links.port(name, 'list')}"

    def seen(self, name, other):
        return other.cluster and (
            other.cluster if name == other.name else f"127.0.0.1:{self.links.port(name, other.name)}"
        )

    def addresses(self):
        return [f"127.0.0.1:{self.links.port('px', name)}" for name in self.at]

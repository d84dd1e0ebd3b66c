"""A day's controllers as true processes of the program, with links around them that break.

The links lie between the processes, to the endpoint list and from the proxies; the cluster's claims are
judged all the while.
"""

from functools import partial

from embertray.cluster.link.state_exchange import EXCHANGE_TIMEOUT_NS
from embertray.common.framing import FrameDecoder
from embertray.controller.endpoint_list.messages import WatchEvent, decode_response
from embertray.service.site.values import parse_duration as span
from embertray.simulation.claims.cluster import ClusterClaims

from .cluster_links import ClusterLinks
from .controller_processes import ControllerProcesses
from .process_monitor import DELAY_SLACK_NS, ProcessMonitor


class LinkedControllerProcesses(ControllerProcesses):
    """ControllerProcesses with links between the processes, to the endpoint list and from the proxies.

    `clustered`: whether they form a cluster.
    """

    def __init__(self, seed, folder, clustered=True):
        super().__init__(seed, folder)
        self.clustered = clustered
        self.impaired = set()  # controllers whose links from or to the proxies are not good

    async def start(self, stage):
        """As ControllerProcesses; looks at the processes all the while."""
        await super().start(stage)
        self.monitor = ProcessMonitor(self, stage.net, stage.clock, self.claims)
        stage.group.start_soon(self.monitor.run)

    async def closing(self):
        """Keeps what each process used."""
        self.resource_usage = await self.monitor.resource_usage()

    async def prepare(self):
        """Makes the links, and what the cluster's claims are judged by."""
        to = {}
        taps = {}
        self.stage.inventory.on_news = None  # what passed the link counts
        for name in self.at:
            to[name, "list"] = lambda: self.stage.inventory.address
            taps[name, "list"] = lambda name=name: partial(self.on_list_data, name, FrameDecoder())
            to["px", name] = lambda name=name: self.at[name].listen
        self.links = ClusterLinks(
            {name: int((at.cluster or "0:0").rpartition(":")[2]) for name, at in self.at.items()},
            self.seed,
            ("list", "px"),
            to,
            taps,
        )
        await self.stage.group.start(self.links.run)
        self.links.listeners.append(self.on_links_changed)
        if self.clustered:
            self.claims = ClusterClaims(
                self.links, span(self.stage.day.fleet["period"]), EXCHANGE_TIMEOUT_NS, DELAY_SLACK_NS
            )

    def on_list_data(self, name, decoder, data):
        """Bytes of the list that reach a controller."""
        for payload in decoder.feed(data):
            if isinstance(news := decode_response(payload), WatchEvent):
                self.stage.eyes.told(self.stage.clock.now(), name, news)

    def on_links_changed(self, at):
        """Notes controllers whose proxies are not heard, or hear nothing, or late.

        What such proxies do is not their controller's doing.
        """
        for name in self.at:
            impaired = not (
                self.links.link(name, "px").is_unimpaired and self.links.link("px", name).is_unimpaired
            )
            if impaired != (name in self.impaired):
                (self.impaired.add if impaired else self.impaired.discard)(name)
                self.stage.eyes.note(at, "unheard" if impaired else "heard", name)

    def endpoint_list_address(self, name):
        """Where `name` finds the endpoint list: behind its own link."""
        return f"127.0.0.1:{self.links.port(name, 'list')}"

    def cluster_address(self, name, other):
        """Where `name` finds `other`'s cluster address: behind its own link."""
        return other.cluster and (
            other.cluster if name == other.name else f"127.0.0.1:{self.links.port(name, other.name)}"
        )

    def addresses(self):
        """Where proxies dial, in the controllers' order: behind the links."""
        return [f"127.0.0.1:{self.links.port('px', name)}" for name in self.at]

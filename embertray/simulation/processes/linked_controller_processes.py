"""A day's controllers as processes, with faulty links among them, to the endpoint list and from proxies.

The cluster's claims are checked throughout the day.
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
    """ControllerProcesses that are reached through links, and are polled by a ProcessMonitor.

    Args:
        seed: seed of the controllers and the links.
        folder: where site descriptions, logs and snapshots are written.
        clustered: whether the controllers form a cluster.
    """

    def __init__(self, seed, folder, clustered=True):
        super().__init__(seed, folder)
        self.clustered = clustered
        self.impaired = set()  # names of controllers whose links to or from the proxies have faults

    async def start(self, stage):
        """Starts the controllers, and polls them from now on."""
        await super().start(stage)
        self.monitor = ProcessMonitor(self, stage.net, stage.clock, self.claims)
        stage.group.start_soon(self.monitor.run)

    async def closing(self):
        """Keeps the resource usage of each process."""
        self.resource_usage = await self.monitor.resource_usage()

    async def prepare(self):
        """Creates and starts the links, and the claims of the cluster."""
        to = {}
        taps = {}
        self.stage.inventory.on_event = None  # the observer is told what the link has delivered instead
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
        """Reports the endpoint-list events in data that reaches a controller to the observer."""
        for payload in decoder.feed(data):
            if isinstance(news := decode_response(payload), WatchEvent):
                self.stage.observer.told(self.stage.clock.now(), name, news)

    def on_links_changed(self, at):
        """Notes controllers whose links to or from the proxies become faulty or good again.

        A controller is not held responsible for its proxies while these links have faults.
        """
        for name in self.at:
            impaired = not (
                self.links.link(name, "px").is_unimpaired and self.links.link("px", name).is_unimpaired
            )
            if impaired != (name in self.impaired):
                (self.impaired.add if impaired else self.impaired.discard)(name)
                self.stage.observer.note(at, "unheard" if impaired else "heard", name)

    def endpoint_list_address(self, name):
        """Returns the address of `name`'s own link to the endpoint list."""
        return f"127.0.0.1:{self.links.port(name, 'list')}"

    def cluster_address(self, name, other):
        """Returns the address of `name`'s own link to `other`; empty without a cluster."""
        return other.cluster and (
            other.cluster if name == other.name else f"127.0.0.1:{self.links.port(name, other.name)}"
        )

    def addresses(self):
        """Returns the addresses of the proxies' links, in the controllers' order."""
        return [f"127.0.0.1:{self.links.port('px', name)}" for name in self.at]

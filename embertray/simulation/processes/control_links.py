"""The links of a control plane of true processes: TCP relays among replicas and from subscribers."""

from contextlib import contextmanager

import anyio
from anyio.from_thread import start_blocking_portal

from embertray.simulation.models.network import Network

from .ports import free_ports
from .tcp_relay import TcpRelay


class ControlLinks(Network):
    """Runs in a thread of its own; the methods here may be called from any other.

    Args:
        replicas: their names.
        subscribers: their names.
        target: target(a, b) gives the true port where `a` would reach the replica `b`.
        seed: of what the links do by chance.
    """

    def __init__(self, replicas, subscribers, target, seed=1):
        super().__init__(replicas, seed, subscribers)
        self.target = target
        self.portal = None
        dialed_pairs = [(a, b) for a in [*replicas, *subscribers] for b in replicas if a != b]
        self.ports = dict(zip(dialed_pairs, free_ports(len(dialed_pairs)), strict=True))

    def port(self, a, b):
        """Where `a` is to dial to reach `b`."""
        return self.ports[a, b]

    @contextmanager
    def running(self):
        """Links run as long as the context lasts."""
        with start_blocking_portal() as self.portal:
            task, _ = self.portal.start_task(self._run)
            try:
                yield self
            finally:
                task.cancel()

    async def _run(self, *, task_status):
        async with anyio.create_task_group() as group:
            for (a, b), port in self.ports.items():
                address = f"127.0.0.1:{self.target(a, b)}"
                links = (self.links[a, b], self.links[b, a])
                streams = self.streams[a, b]
                await group.start(TcpRelay(port, lambda address=address: address, *links, streams).run)
            task_status.started()

    # ---- faults

    def partition(self, *groups):
        """Only those of one group reach each other; who is in none reaches all."""
        self.portal.call(lambda: self.split(*groups))

    def block(self, *pairs):
        """Nothing passes from the first of each pair to the second; streams between them stay silent."""
        self.portal.call(lambda: self.set_conditions(0, pairs, open=False))

    def restore(self):
        """All links are good again; what they held back is delivered."""
        self.portal.call(self.heal)

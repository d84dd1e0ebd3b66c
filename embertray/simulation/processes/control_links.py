"""TCP relays between the processes of a control plane: among replicas, and from subscribers to replicas."""

from contextlib import contextmanager

import anyio
from anyio.from_thread import start_blocking_portal

from embertray.simulation.models.network import Network

from .ports import free_ports
from .tcp_relay import TcpRelay


class ControlLinks(Network):
    """The faulty links of a control plane; they run in their own thread, and any thread may call the methods.

    Args:
        replicas: names of the replicas.
        subscribers: names of the subscribers.
        target: target(a, b) returns the port on which the replica `b` listens for `a`.
        seed: seed of the links' random faults.
    """

    def __init__(self, replicas, subscribers, target, seed=1):
        super().__init__(replicas, seed, subscribers)
        self.target = target
        self.portal = None
        dialed_pairs = [(a, b) for a in [*replicas, *subscribers] for b in replicas if a != b]
        self.ports = dict(zip(dialed_pairs, free_ports(len(dialed_pairs)), strict=True))

    def port(self, a, b):
        """Returns the port that `a` dials to reach `b`."""
        return self.ports[a, b]

    @contextmanager
    def running(self):
        """Runs the links while the context is open."""
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
        """Splits the network: processes of different groups cannot reach each other."""
        self.portal.call(lambda: self.split(*groups))

    def block(self, *pairs):
        """Blocks traffic from the first to the second of each pair; their streams stay open and silent."""
        self.portal.call(lambda: self.set_conditions(0, pairs, open=False))

    def restore(self):
        """Removes all faults; data that was held back is delivered."""
        self.portal.call(self.heal)

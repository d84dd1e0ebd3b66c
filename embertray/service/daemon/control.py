"""The control plane in this program's processes: a replica of its own, and a controller's subscriber."""

import random
from pathlib import Path

import anyio

from embertray.cluster.replication.link import (
    ReplicaServer,
    ReplicaSettings,
    SubscriberClient,
    SubscriberSettings,
)
from embertray.cluster.replication.link.durable_state import replica_state_store, subscriber_state_store
from embertray.cluster.replication.timing import FeedSettings
from embertray.service.admin.control import ReplicaAdmin


class ReplicaProcess:
    """`embertray control serve`: the replica `me` of a site's Control with its operators' HTTP."""

    def __init__(self, control, me, clock, net, seed, replica_timing=None, feed_settings=None):
        self.me, self.net = me, net
        peers = {one.name: one.address for one in control.replicas}
        self.server = ReplicaServer(
            ReplicaSettings(control.cluster, me.name, peers, me.listen),
            clock,
            chance_of_this_start(seed, me.name, clock),
            net,
            replica_timing,
            feed_settings or FeedSettings(bytes_per_second=control.bytes_per_second),
            replica_state_store(me.keep),
        )
        self.pages = ReplicaAdmin(self.server, {one.name: one.admin for one in control.replicas})

    async def run(self):
        """Until `stop`. Raises Locked, OSError, StateNotSaved."""
        admin = await self.net.listen(self.me.admin)
        try:
            async with anyio.create_task_group() as group:
                await group.start(self._run_server, group)
                group.start_soon(admin.serve, self.pages.serve, group)
                self.server.log.info("operators", admin=admin.address)
        finally:
            with anyio.CancelScope(shield=True):
                await admin.aclose()

    async def _run_server(self, group, *, task_status):
        await self.server.run(task_status=task_status)
        group.cancel_scope.cancel()

    def stop(self):
        """Ends `run`."""
        self.server.stop()


def subscriber_client(site, me, clock, net, seed, log, pace=None):
    """The SubscriberClient of the controller `me`."""
    control = site.control
    replicas = {one.name: one.listen for one in control.followed_by(me)}
    saved = subscriber_state_store(Path(control.keep) / me.name) if control.keep else None
    return SubscriberClient(
        SubscriberSettings(control.cluster, me.name, replicas),
        clock,
        chance_of_this_start(seed, me.name, clock),
        lambda entries: log.info("configuration", keys=len(entries), revision=entries[-1].revision),
        net=net,
        pace=pace,
        saved=saved,
        log=log,
        budget=FeedSettings(bytes_per_second=control.bytes_per_second),
    )


def chance_of_this_start(seed, name, clock):
    """A generator that differs at each start: a replica's nonces must never be drawn twice."""
    return random.Random(f"{seed} {name} {clock.wall()}")

"""Processes of the replicated configuration: a control replica, and the subscriber inside a controller."""

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
    """`embertray control serve`: one replica of a site, with its operators' HTTP.

    Args:
        control: the site's ControlSettings.
        me: the SiteReplica to run.
        clock: has now, wall and sleep_until, as LoopClock.
        net: has listen and dial, as TcpNet.
        seed: whole number, the same for all processes of the site.
        replica_timing: a ReplicaTiming, None for the default.
        feed_settings: a FeedSettings, None for the site's.
    """

    def __init__(self, control, me, clock, net, seed, replica_timing=None, feed_settings=None):
        self.me = me
        self.net = net
        self.server = ReplicaServer(
            ReplicaSettings(
                cluster=control.cluster,
                name=me.name,
                peers={replica.name: replica.address for replica in control.replicas},
                listen=me.listen,
            ),
            clock,
            per_start_rng(seed, me.name, clock),
            net=net,
            replica_timing=replica_timing,
            feed_settings=feed_settings or FeedSettings(bytes_per_second=control.bytes_per_second),
            state_store=replica_state_store(me.keep),
        )
        admins = {replica.name: replica.admin for replica in control.replicas}
        self.admin = ReplicaAdmin(self.server, admins)

    async def run(self):
        """Runs until `stop`.

        Raises:
            FolderLockedError: another process uses the replica's folder.
            OSError: an address or the folder can't be used.
            StateNotSavedError: the disk failed or is full.
        """
        listener = await self.net.listen(self.me.admin)
        try:
            async with anyio.create_task_group() as group:
                await group.start(self._run_server, group)
                group.start_soon(listener.serve, self.admin.serve, group)
                self.server.log.info("operators", admin=listener.address)
        finally:
            with anyio.CancelScope(shield=True):
                await listener.aclose()

    async def _run_server(self, group, *, task_status):
        await self.server.run(task_status=task_status)
        group.cancel_scope.cancel()

    def stop(self):
        """Ends `run`."""
        self.server.stop()


def subscriber_client(site, me, clock, net, seed, log, timing=None):
    """Returns the SubscriberClient of one controller.

    Args:
        site: the Site.
        me: the SiteController.
        clock: has now, wall and sleep_until, as LoopClock.
        net: has dial, as TcpNet.
        seed: whole number, the same for all processes of the site.
        log: a structlog logger.
        timing: a SubscriberTiming, None for the default.
    """
    control = site.control
    return SubscriberClient(
        SubscriberSettings(
            cluster=control.cluster,
            name=me.name,
            replicas={replica.name: replica.listen for replica in control.followed_by(me)},
        ),
        clock,
        per_start_rng(seed, me.name, clock),
        lambda entries: log.info("configuration", keys=len(entries), revision=entries[-1].revision),
        net=net,
        timing=timing,
        state_store=subscriber_state_store(Path(control.keep) / me.name) if control.keep else None,
        log=log,
        budget=FeedSettings(bytes_per_second=control.bytes_per_second),
    )


def per_start_rng(seed, name, clock):
    """Returns a random.Random that differs at each start, since a replica must never reuse a nonce."""
    return random.Random(f"{seed} {name} {clock.wall()}")

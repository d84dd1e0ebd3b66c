"""Status of replicas and subscribers, as shown to operators. Times are in seconds, sizes in bytes."""

import msgspec

from .connection import Traffic

NS_PER_MS = 10**6


class ReplicaStatus(msgspec.Struct, tag="replica", frozen=True):
    """Status of one replica. The field names appear in JSON.

    Attributes:
        cluster: name of the cluster.
        name: name of this replica.
        role: a value of replica_state.Role.
        term: the newest term that it has seen.
        leader: name of the leader, "" if it is not known.
        has_majority: whether it leads, confirmed by a majority.
        recovering: whether it started without its newest state and may not vote yet.
        revision: revision of the last committed entry.
        digest: digest of the committed state.
        age_s: time since it was certain that nothing newer was committed; None if it never was.
        keys: number of live keys.
        state_bytes: size of all versions that are kept.
        subscribers: number of subscribers of this replica.
        lowest_confirmed: the highest revision that all of them have confirmed.
        fleet_subscribers: number of subscribers of all replicas; None except at the leader.
        fleet_lowest_confirmed: the highest revision that all of these have confirmed; None except at the
            leader.
        peers_connected: number of replicas that this one is connected to.
        saves: number of saved states.
        steps: number of iterations of the replica's loop.
        writes_waiting: number of client calls that wait for a majority.
        update_retries: number of updates that a subscriber did not confirm in time.
        silent_subscribers: number of subscribers dropped because they sent nothing.
        traffic: totals of all connections.
    """

    cluster: str
    name: str
    role: str
    term: int
    leader: str
    has_majority: bool
    recovering: bool
    revision: int
    digest: int
    age_s: float | None
    keys: int
    state_bytes: int
    subscribers: int
    lowest_confirmed: int
    fleet_subscribers: int | None
    fleet_lowest_confirmed: int | None
    peers_connected: int
    saves: int
    steps: int
    writes_waiting: int
    update_retries: int
    silent_subscribers: int
    traffic: Traffic


class SubscriberStatus(msgspec.Struct, tag="subscriber", frozen=True):
    """Status of one subscriber. The field names appear in JSON.

    Attributes:
        cluster: name of the cluster.
        name: name of this subscriber.
        replica: name of the replica that is followed or being connected to.
        connected: whether there is a connection to it.
        revision: everything up to it is applied.
        digest: digest of the state that is held.
        age_s: time since it was certain that nothing newer was committed; None if it never was.
        keys: number of live keys.
        saves: number of saved states.
        save_fails: number of states that could not be saved.
        counters: event counts by name; `counted` in JSON.
        traffic: totals of all connections.
    """

    cluster: str
    name: str
    replica: str
    connected: bool
    revision: int
    digest: int
    age_s: float | None
    keys: int
    saves: int
    save_fails: int
    counters: dict[str, int] = msgspec.field(name="counted")
    traffic: Traffic


def age_in_seconds(age):
    """Converts an age to seconds, rounded up to a millisecond so that it is never understated.

    Args:
        age: ns, or None.

    Returns:
        Seconds, or None.
    """
    return None if age is None else -(-age // NS_PER_MS) / 1_000


def replica_status(server):
    """The ReplicaStatus of a running ReplicaServer."""
    replica = server.replica
    feed = server.feed
    now = server.clock.now()
    fleet = _fleet(replica, feed) if replica.has_majority(now) else (None, None)
    return ReplicaStatus(
        cluster=server.settings.cluster,
        name=server.settings.name,
        role=replica.role.value,
        term=replica.term,
        leader=replica.leader,
        has_majority=replica.has_majority(now),
        recovering=replica.recovering,
        revision=replica.store.revision,
        digest=replica.store.digest,
        age_s=age_in_seconds(replica.age(now)),
        keys=replica.store.live_count,
        state_bytes=replica.store.bytes,
        subscribers=feed.count,
        lowest_confirmed=feed.lowest_confirmed,
        fleet_subscribers=fleet[0],
        fleet_lowest_confirmed=fleet[1],
        peers_connected=sum(link.connection is not None for link in server.links.values()),
        saves=server.loop.saves,
        steps=server.loop.steps,
        writes_waiting=len(server.writes.pending),
        update_retries=feed.retries,
        silent_subscribers=feed.silent_drops,
        traffic=server.traffic,
    )


def _fleet(replica, feed):
    """(subscribers, lowest confirmed revision) of all replicas, as they reported to the leader."""
    reports = [(feed.count, feed.lowest_confirmed)]
    reports += [(report.subscribers, report.lowest_confirmed) for report in replica.reports.values()]
    lowest = min((confirmed for count, confirmed in reports if count), default=None)
    return sum(count for count, _ in reports), lowest


def subscriber_status(client):
    """The SubscriberStatus of a SubscriberClient, running or not."""
    subscriber = client.subscriber
    return SubscriberStatus(
        cluster=client.settings.cluster,
        name=client.settings.name,
        replica=subscriber.replica if subscriber else "",
        connected=bool(subscriber and subscriber.connected),
        revision=client.revision,
        digest=subscriber.store.digest if subscriber else 0,
        age_s=age_in_seconds(client.age()),
        keys=subscriber.store.live_count if subscriber else 0,
        saves=client.saves,
        save_fails=client.save_fails,
        counters=dict(subscriber.counters) if subscriber else {},
        traffic=client.traffic,
    )

"""What operators see of replicas and subscribers. Times in seconds, sizes in bytes."""

import msgspec

from .connection import Traffic

NS_PER_MS = 10**6


class ReplicaStatus(msgspec.Struct, tag="replica", frozen=True):
    """One replica. The names are those of JSON.

    Attributes:
        cluster: name of the cluster.
        name: this replica.
        role: a value of replica_state.Role.
        term: the newest that it has seen.
        leader: name, "" if none is known.
        has_majority: whether it leads, confirmed by a majority.
        recovering: whether it must not vote yet.
        revision: of the last committed entry.
        digest: of the committed state.
        age_s: since it was certain that nothing newer was committed; None if it never was.
        keys: number of live keys.
        state_bytes: of all versions that are kept.
        subscribers: number of subscribers here.
        lowest_confirmed: the revision that all of them have confirmed.
        fleet_subscribers: number at all replicas together; None but at the leader.
        fleet_lowest_confirmed: the revision that all of these have confirmed; None but at the leader.
        peers_connected: replicas that this one has a connection to.
        saves: states saved.
        steps: turns of the loop.
        writes_waiting: client calls that wait for a majority.
        update_retries: updates that a subscriber did not confirm in time.
        silent_subscribers: subscribers that were dropped as they said nothing.
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
    """One subscriber. The names are those of JSON.

    Attributes:
        cluster: name of the cluster.
        name: this subscriber.
        replica: the one that is followed or tried.
        connected: whether there is a connection to it.
        revision: everything up to it is applied.
        digest: of the state that is held.
        age_s: since it was certain that nothing newer was committed; None if it never was.
        keys: number of live keys.
        saves: states saved.
        save_fails: states that could not be saved.
        counters: events by name; `counted` in JSON.
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


def seconds(age):
    """An age in seconds, rounded up to the next millisecond: it must not be shown younger than it is.

    Args:
        age: ns, or None.

    Returns:
        Seconds, or None.
    """
    return None if age is None else -(-age // NS_PER_MS) / 1_000


def replica_status(server):
    """The ReplicaStatus of a ReplicaServer that runs."""
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
        age_s=seconds(replica.age(now)),
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
        silent_subscribers=feed.silent,
        traffic=server.traffic,
    )


def _fleet(replica, feed):
    """(subscribers, lowest confirmed revision) of all replicas, as they reported to the leader."""
    reports = [(feed.count, feed.lowest_confirmed)]
    reports += [(report.subscribers, report.lowest_confirmed) for report in replica.reports.values()]
    lowest = min((confirmed for count, confirmed in reports if count), default=None)
    return sum(count for count, _ in reports), lowest


def subscriber_status(client):
    """The SubscriberStatus of a SubscriberClient, which may not run yet."""
    subscriber = client.subscriber
    return SubscriberStatus(
        cluster=client.settings.cluster,
        name=client.settings.name,
        replica=subscriber.replica if subscriber else "",
        connected=bool(subscriber and subscriber.connected),
        revision=client.revision,
        digest=subscriber.store.digest if subscriber else 0,
        age_s=seconds(client.age()),
        keys=subscriber.store.live_count if subscriber else 0,
        saves=client.saves,
        save_fails=client.save_fails,
        counters=dict(subscriber.counters) if subscriber else {},
        traffic=client.traffic,
    )

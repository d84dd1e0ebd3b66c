"""Simulates replicas, subscribers and a writer on one engine, and checks claims about them."""

import random
from dataclasses import dataclass, field

from embertray.cluster.replication.entry import Entry
from embertray.cluster.replication.propagation_bounds import Bounds
from embertray.cluster.replication.timing import FeedSettings, ReplicaTiming, SubscriberTiming
from embertray.simulation.claims.control import ControlClaims
from embertray.simulation.emulator.engine import NS_PER_MS, NS_PER_SECOND, Engine

from .links import Links
from .replica_process import ReplicaProcess
from .subscriber_process import SubscriberProcess
from .writer import Writer

# Initial time, ns.
START_NS = 1_000 * NS_PER_SECOND
# Time between two observations of every subscriber.
OBSERVATION_PERIOD_NS = 250 * NS_PER_MS
# Replicas that a subscriber may connect to.
PREFERRED_REPLICAS = 3


@dataclass(frozen=True)
class Settings:
    """Size, load and timing of a simulation.

    Attributes:
        seed: Seed of all random draws.
        replicas: Number of replicas.
        subscribers: Number of subscribers.
        regions: Number of regions.
        keys: Number of keys.
        value: The least and the greatest size of a value, bytes.
        write_every: Mean time between writes, ns.
        cluster: The cluster's name.
        initial_keys: Keys that all replicas and subscribers hold at the start.
        persistent: Whether subscribers have a disk and restart with the state on it.
        replica: Timing of the replicas.
        feed: Settings of the feeds.
        subscriber: Timing of the subscribers.
    """

    seed: int = 1
    replicas: int = 3
    subscribers: int = 6
    regions: int = 1
    keys: int = 40
    value: tuple = (20, 400)
    write_every: int = 2 * NS_PER_SECOND
    cluster: str = "play"
    initial_keys: int = 0
    persistent: bool = False
    replica: ReplicaTiming = field(default_factory=ReplicaTiming)
    feed: FeedSettings = field(default_factory=FeedSettings)
    subscriber: SubscriberTiming = field(default_factory=SubscriberTiming)


class ControlPlaneSimulation:
    """All processes and links of one simulation.

    Args:
        settings: The Settings.
        claims: The ControlClaims to check; None: new ones.
        replica_process: Type of the replicas; None: ReplicaProcess.
        subscriber_process: Type of the subscribers; None: SubscriberProcess.

    Attributes:
        replicas: ReplicaProcess by name.
        subscribers: SubscriberProcess by name.
        links: The Links.
        bounds: The Bounds that the claims are checked against.
        bounds_restarted_at: Time of the last fault or repair that affects a subscriber, from which its bounds
            count, ns, by its name.
    """

    def __init__(self, settings, claims=None, replica_process=None, subscriber_process=None):
        self.settings = settings
        self.engine = Engine(START_NS)
        self.claims = claims or ControlClaims()
        self.rng = self.random_for("play")
        self.bounds = Bounds(settings.replica, settings.feed, settings.subscriber)
        self.replica_names = [f"r{number}" for number in range(settings.replicas)]
        names = [f"s{number:03d}" for number in range(settings.subscribers)]
        region = {name: number % settings.regions for number, name in enumerate(self.replica_names)}
        region |= {name: number % settings.regions for number, name in enumerate(names)}
        self.links = Links(self.engine, self.random_for("links"), region)
        self.initial_entries = self._make_initial_entries()
        make_replica = replica_process or ReplicaProcess
        make_subscriber = subscriber_process or SubscriberProcess
        self.replicas = {name: make_replica(self, name) for name in self.replica_names}
        self.subscribers = {
            name: make_subscriber(self, name, self._preferred_replicas(name, region)) for name in names
        }
        self.writer = Writer(self, settings)
        self.bounds_restarted_at = dict.fromkeys(names, self.engine.time)

    def _make_initial_entries(self):
        """Entries that were committed before the start."""
        values = [self.rng.randint(*self.settings.value) for _ in range(self.settings.initial_keys)]
        entries = [
            Entry(f"key/{number}", number + 1, 1, "", self.rng.randbytes(size))
            for number, size in enumerate(values)
        ]
        for entry in entries:
            self.claims.entry_committed(self.engine.time, "start", entry)
        return entries

    def random_for(self, purpose):
        """Makes the random generator of a purpose.

        Args:
            purpose: Its name.

        Returns:
            A random.Random.
        """
        return random.Random(f"{self.settings.seed} {purpose}")

    def _preferred_replicas(self, name, region):
        """A subscriber's replicas: those of its region first, each group in random order."""
        order = self.random_for(f"order {name}").sample(self.replica_names, len(self.replica_names))
        return sorted(order, key=lambda replica: region[replica] != region[name])[:PREFERRED_REPLICAS]

    # ---- time

    def start(self):
        """Starts all processes at once, and the writer."""
        for process in [*self.replicas.values(), *self.subscribers.values()]:
            process.start()
        self.engine.at(self.engine.time + OBSERVATION_PERIOD_NS, self._observe)
        self.writer.start()

    def run(self, duration):
        """Lets time pass.

        Args:
            duration: ns.
        """
        self.engine.run(self.engine.time + duration)

    def settle(self):
        """Stops writing, heals everything, lets the longest bound pass, and compares final states."""
        self.writer.stop()
        self.heal()
        self.run(self.bounds.any_fault + self.bounds.waiting(self.backlog) + 4 * OBSERVATION_PERIOD_NS)
        self.claims.check_identical(
            self.engine.time,
            {
                name: (process.core.revision, process.core.store.digest)
                for name, process in self.subscribers.items()
            },
        )

    @property
    def backlog(self):
        """Bytes of all live entries: the most that a subscriber can lack."""
        return max(replica.core.store.live_bytes for replica in self.running_replicas)

    @property
    def running_replicas(self):
        """Replicas that are neither dead nor stopped."""
        return [replica for replica in self.replicas.values() if replica.alive and not replica.stopped]

    # ---- connections

    def dial(self, connection):
        """Opens a subscriber's connection: it is accepted, refused, or gets no answer.

        Args:
            connection: The Connection.
        """
        subscriber = connection.subscriber
        replica = connection.replica
        if not self.links.bidirectional(subscriber.name, replica.name):
            return
        there = self.links.delay(subscriber.name, replica.name)
        back = self.links.delay(replica.name, subscriber.name)
        self.engine.at(self.engine.time + there + back, self._finish_dial, connection, replica.incarnation)

    def _finish_dial(self, connection, incarnation):
        if connection.ended:
            return
        if connection.replica.alive and connection.replica.incarnation == incarnation:
            connection.subscriber.on_connected(connection)
        else:
            connection.subscriber.on_connection_lost(connection.number)

    def hang_up(self, connection):
        """Notifies a replica that a subscriber closed a connection, if the link is open.

        Args:
            connection: The Connection.
        """
        if self.links.open(connection.subscriber.name, connection.replica.name):
            when = self.engine.time + self.links.delay(connection.subscriber.name, connection.replica.name)
            self.engine.at(when, connection.replica.on_connection_closed, connection)

    def reset(self, connection):
        """Notifies a subscriber that the replica's end of a connection is closed, if the link is open.

        Args:
            connection: The Connection.
        """
        if self.links.open(connection.replica.name, connection.subscriber.name):
            when = self.engine.time + self.links.delay(connection.replica.name, connection.subscriber.name)
            self.engine.at(when, connection.subscriber.on_connection_lost, connection.number)

    # ---- faults

    def restart_bounds(self, *subscribers):
        """Restarts the bounds after a fault or a repair.

        Args:
            *subscribers: Names of the subscribers affected; none: all.
        """
        for name in subscribers or self.subscribers:
            self.bounds_restarted_at[name] = self.engine.time

    def heal(self):
        """Opens all links, starts dead processes and resumes stopped ones."""
        self.links.heal()
        for process in [*self.replicas.values(), *self.subscribers.values()]:
            if not process.alive:
                process.start()
            elif process.stopped:
                process.resume()
        self.restart_bounds()

    # ---- checks

    def majority_group(self):
        """The replicas that run, have recovered and all reach each other, if they are a majority.

        Nothing is claimed where some reach each other in one direction only.

        Returns:
            A set of names; empty: there is no such majority.
        """
        able = [replica.name for replica in self.running_replicas if not replica.core.recovering]
        for name in able:
            near = [other for other in able if self.links.open(name, other) or self.links.open(other, name)]
            whole = all(self.links.bidirectional(a, b) for a in near for b in near if a != b)
            if whole and 2 * len(near) > len(self.replica_names):
                return set(near)
        return set()

    def _observe(self):
        now = self.engine.time
        group = self.majority_group()
        waiting = self.bounds.waiting(self.backlog) if self.running_replicas else 0
        for name, process in self.subscribers.items():
            if process.alive and not process.stopped:
                self._observe_subscriber(now, name, process, group, waiting)
        self.engine.at(now + OBSERVATION_PERIOD_NS, self._observe)

    def _observe_subscriber(self, now, name, process, group, waiting):
        core = process.core
        self.claims.check_age(now, name, core.revision, core.age(now))
        reached = any(
            replica in group and self.links.bidirectional(name, replica) for replica in process.replica_names
        )
        since = self.bounds_restarted_at[name] if reached else None
        if not reached:
            self.claims.count_out_of_reach(now, name)
        late = self.bounds.any_fault + waiting + OBSERVATION_PERIOD_NS
        self.claims.check_in_force(now, name, core.revision, since, late)
        calm = None if since is None else since + late
        prompt = self.bounds.good + self.bounds.waiting(self.writer.burst_bytes) + OBSERVATION_PERIOD_NS
        self.claims.check_in_force(now, name, core.revision, calm, prompt, "prompt")

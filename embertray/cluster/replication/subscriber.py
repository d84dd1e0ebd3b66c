"""The state machine of a subscriber: follows a replica, applies its updates, and tracks their age.

A subscriber follows one replica at a time, chosen by its ReplicaSelector, and never moves backwards: an entry
that is not newer than the current entry of its key is ignored, whichever replica sends it.
"""

from .codec import encode
from .entry import Entry
from .freshness import Freshness
from .instructions import CloseConnection, OpenConnection, SendMessage
from .messages import VERSION, Confirm, Heartbeat, Inventory, Repair, Subscribe, Update
from .repair import compare
from .replica_selector import ReplicaSelector
from .store import VersionedStore
from .timing import FeedSettings, SubscriberTiming
from .token_bucket import TokenBucket


class Subscriber:
    """A state machine that is given messages, connection events and the time.

    Call `advance` when `next_at` is due, and `connection_opened`, `connection_lost` and `receive` when these
    events occur. After each call the caller takes and clears `actions` and `applied`.

    Args:
        cluster: name of the cluster.
        name: name of this subscriber.
        replicas: names of the replicas, in order of preference.
        now: current time, ns.
        rng: a random.Random, seeded differently at each start.
        timing: a SubscriberTiming, None for the default.
        budget: the FeedSettings that limit the bytes sent to this subscriber, None for the default.
        entries: entries saved by a previous process.
        revision: revision that the previous process had reached.
        known_at: ns of the clock of `now` at which `entries` were certainly the newest (may be negative);
            None if that is not known.

    Attributes:
        actions: OpenConnection, CloseConnection and SendMessage actions to execute, in order.
        applied: newly applied entries, in order.
        counters: event counts by name, shown to operators.
    """

    def __init__(
        self,
        cluster,
        name,
        replicas,
        now,
        rng,
        timing=None,
        budget=None,
        entries=(),
        revision=0,
        known_at=None,
    ):
        self.cluster = cluster
        self.name = name
        self.timing = timing or SubscriberTiming()
        self.selector = ReplicaSelector(replicas, now, rng, self.timing)
        self.store = VersionedStore()
        for entry in sorted(entries, key=lambda entry: entry.revision):
            self.store.apply(entry)
        self.store.advance(revision)
        self.freshness = Freshness(known_at)
        budget = budget or FeedSettings()
        self.token_bucket = TokenBucket(budget.sustained_bytes_per_second, budget.burst_bytes, now)
        self.token_bucket.limit(now, 0)  # a previous process may have spent the whole budget just now
        self.actions = []
        self.applied = []
        self.connection_id = 0
        self.connected = False
        self.connecting = False
        self.last_received_at = now  # ns of the last message or connection event
        self.next_repair_at = now  # ns before which no repair is requested
        self.counters = dict.fromkeys(("dials", "updates", "duplicates", "gaps", "repairs", "moves"), 0)

    # ---- queries

    @property
    def revision(self):
        """The revision up to which the newest entry of each key is held."""
        return self.store.revision

    @property
    def replica(self):
        """Name of the replica that is followed or being connected to."""
        return self.selector.current

    def age(self, now):
        """Time in ns since it was certain that nothing newer was committed; None if it never was."""
        return self.freshness.age(now)

    def next_at(self):
        """Time in ns by which `advance` has to be called."""
        if self.connected:
            return min(self.last_received_at + self.timing.silence_timeout, self.selector.failback_at)
        if self.connecting:
            return self.last_received_at + self.timing.connect_timeout
        return self.selector.connect_at

    # ---- time and connections

    def advance(self, now):
        """Does what is due at `now` (ns): connects, or leaves a replica."""
        if self.connected:
            if now - self.last_received_at >= self.timing.silence_timeout:
                self._disconnect(now, "silent")
            elif now >= self.selector.failback_at:
                self._fail_back(now)
        elif self.connecting:
            if now - self.last_received_at >= self.timing.connect_timeout:
                self._disconnect(now, "connect timeout")
        elif now >= self.selector.connect_at:
            self._connect(now)

    def connection_opened(self, now, connection_id):
        """Handles a connection that was established at `now` (ns): subscribes."""
        if connection_id != self.connection_id or not self.connecting:
            return
        self.connected = True
        self.connecting = False
        self.last_received_at = now
        self.selector.on_connected(now)
        self._subscribe(now, self.revision)

    def connection_lost(self, now, connection_id):
        """Handles a connection that ended or could not be established."""
        if connection_id == self.connection_id and (self.connected or self.connecting):
            self._try_next(now)

    def receive(self, now, connection_id, message, size):
        """Handles a message from the replica.

        Args:
            now: current time, ns.
            connection_id: connection that it arrived on. Messages of earlier connections are dropped, but
                their bytes count against the budget.
            message: a Heartbeat, Update or Inventory.
            size: size of the message on the wire, bytes.
        """
        self.token_bucket.available(now)
        self.token_bucket.spend(size)
        if connection_id != self.connection_id or not self.connected:
            return
        self.last_received_at = now
        if isinstance(message, Heartbeat):
            self._on_heartbeat(now, message)
        elif isinstance(message, Update):
            self._on_update(now, message)
        elif isinstance(message, Inventory):
            self._on_inventory(now, message)

    def _connect(self, now):
        self.connection_id += 1
        self.connecting = True
        self.last_received_at = now
        self.counters["dials"] += 1
        self.actions.append(OpenConnection(self.replica, self.connection_id))

    def _disconnect(self, now, reason):
        self.actions.append(CloseConnection(self.connection_id, reason))
        self._try_next(now)

    def _try_next(self, now):
        self.connected = False
        self.connecting = False
        self.counters["moves"] += 1
        self.selector.select_next(now)

    def _fail_back(self, now):
        self.actions.append(CloseConnection(self.connection_id, "failback to the first replica"))
        self.connected = False
        self.counters["moves"] += 1
        self.selector.fail_back(now)

    # ---- messages

    def _on_heartbeat(self, now, message):
        if 0 < message.echo <= now:
            self.freshness.observe_commit(message.echo, message.commit, message.age, self.revision)
        if message.age > self.timing.stale_after:
            if self.selector.should_leave_stale(now):
                self._disconnect(now, "cut off from the majority")
            else:
                self._send(Confirm(self.revision, now))
            return
        self.selector.mark_fresh()
        self._check_digest(now, message)
        self._send(Confirm(self.revision, now))

    def _check_digest(self, now, message):
        """Requests a repair if the digests differ at the same revision.

        An entry of this subscriber or of the replica is then corrupt, or this subscriber missed a removal
        whose tombstone was dropped.
        """
        same_revision = message.commit == self.revision
        if same_revision and message.digest != self.store.digest and now >= self.next_repair_at:
            self.next_repair_at = now + self.timing.silence_timeout
            self.counters["repairs"] += 1
            self._send(Repair(self.store.digests))

    def _on_update(self, now, message):
        if message.since > self.revision:
            self.counters["gaps"] += 1
            self._subscribe(now, self.revision)
            return
        applied = sum(self._apply(entry) for entry in message.entries)
        if applied or message.upto > self.revision:
            self.counters["updates"] += 1
        else:
            self.counters["duplicates"] += 1
        self.store.advance(message.upto)
        self.freshness.revision_reached(self.revision)
        self._send(Confirm(self.revision, now))

    def _apply(self, entry):
        newer = self.store.apply(entry)
        if newer:
            self.applied.append(entry)
        return newer

    def _on_inventory(self, now, message):
        """Drops removed and corrupt keys, and requests missing entries."""
        difference = compare(self.store, message)
        for key in difference.removed:
            self._apply(Entry(key, message.upto, 0, "", None))
        for key in difference.corrupt:
            self.store.discard(key)
        if difference.missing_from is not None:
            self._subscribe(now, difference.missing_from - 1)

    def _subscribe(self, now, revision):
        allowance = max(0, int(self.token_bucket.available(now)))
        self._send(Subscribe(self.cluster, VERSION, self.name, revision, now, allowance))

    def _send(self, message):
        self.actions.append(SendMessage(self.connection_id, encode(message)))

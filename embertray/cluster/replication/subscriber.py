"""One subscriber: follows a replica, applies what it sends, and knows the age of what it holds.

It has an ordered list of replicas, those of its own region first, and follows one at a time. It leaves a
replica that is silent, or that has been apart from the majority for too long, for the next one, and comes
back to the first after a while. It only ever moves forward: an entry that is not newer than what is held
changes nothing.
"""

from dataclasses import dataclass

from .entry import Entry
from .freshness import Freshness
from .messages import VERSION, Confirm, Heartbeat, Inventory, Repair, Subscribe, Update, encode
from .store import VersionedStore
from .timing import FeedSettings, SubscriberTiming
from .token_bucket import TokenBucket

S = 10**9


@dataclass(frozen=True)
class OpenConnection:
    """Open a connection to `replica`; `number` tells this connection from former ones."""

    replica: str
    connection_id: int


@dataclass(frozen=True)
class CloseConnection:
    """Close the connection `number`."""

    connection_id: int
    reason: str


@dataclass(frozen=True)
class SendMessage:
    """Send an encoded message on the connection `number`."""

    connection_id: int
    data: bytes


class Subscriber:
    """`replicas`: names in the order of preference. `entries` and `revision`: what a former process kept;
    `known_at`: when that was certainly the newest, ns by `now`'s clock (may be before 0), None if not known.
    `budget`: the FeedSettings whose bytes a second it is owed. Call `advance` when `next_at` is due, and
    `dialled`, `lost` and `receive` as things happen; actions and applied entries gather in `actions` and
    `applied`, which the caller empties."""

    def __init__(
        self,
        cluster,
        name,
        replicas,
        now,
        chance,
        pace=None,
        budget=None,
        entries=(),
        revision=0,
        known_at=None,
    ):
        self.cluster, self.name, self.replicas = cluster, name, list(replicas)
        self.chance, self.pace = chance, pace or SubscriberTiming()
        self.store = VersionedStore()
        for entry in sorted(entries, key=lambda one: one.revision):
            self.store.apply(entry)
        self.store.advance(revision)
        self.freshness = Freshness(known_at)
        budget = budget or FeedSettings()
        self.bucket = TokenBucket(budget.sustained, budget.burst, now)
        self.bucket.limit(now, 0)  # a former process may have just spent it all
        self.actions, self.applied = [], []
        self.target, self.connection_id, self.connected, self.dialling = 0, 0, False, False
        self.dial_at, self.failures, self.heard_at, self.since = now, 0, now, now
        self.replica_age, self.stale_moves, self.repair_at = None, 0, now
        self.counters = dict.fromkeys(("dials", "updates", "duplicates", "gaps", "repairs", "moves"), 0)

    # ---- what is asked of it

    @property
    def revision(self):
        """Everything up to here is held, of each key the newest."""
        return self.store.revision

    @property
    def replica(self):
        """Name of the replica that is followed or tried."""
        return self.replicas[self.target]

    def age(self, now):
        """ns since it was certain that nothing newer was committed anywhere; None if it never was."""
        return self.freshness.age(now)

    def next_at(self):
        """ns by which `advance` has to be called."""
        if self.connected:
            return min(self.heard_at + self.pace.silence, self._home_at())
        if self.dialling:
            return self.heard_at + self.pace.dial
        return self.dial_at

    # ---- time and connections

    def advance(self, now):
        """Does what is due."""
        if self.connected:
            if now - self.heard_at >= self.pace.silence:
                self._leave(now, "silent")
            elif now >= self._home_at():
                self._go_home(now)
        elif self.dialling:
            if now - self.heard_at >= self.pace.dial:
                self._leave(now, "no connection")
        elif now >= self.dial_at:
            self._dial(now)

    def connection_opened(self, now, connection_id):
        """The connection `number` is up."""
        if connection_id != self.connection_id or not self.dialling:
            return
        self.connected, self.dialling, self.heard_at, self.since = True, False, now, now
        self._subscribe(now, self.revision)

    def connection_lost(self, now, connection_id):
        """The connection `number` could not be opened, or ended."""
        if connection_id == self.connection_id and (self.connected or self.dialling):
            self._next_target(now)

    def receive(self, now, connection_id, message, size):
        """Takes what the replica says on the connection `number`, in `size` bytes; what former connections
        bring is dropped, but their bytes were spent."""
        self.bucket.available(now)
        self.bucket.spend(size)
        if connection_id != self.connection_id or not self.connected:
            return
        self.heard_at = now
        if isinstance(message, Heartbeat):
            self._on_heartbeat(now, message)
        elif isinstance(message, Update):
            self._on_update(now, message)
        elif isinstance(message, Inventory):
            self._on_inventory(now, message)

    def _dial(self, now):
        self.connection_id += 1
        self.dialling, self.heard_at = True, now
        self.counters["dials"] += 1
        self.actions.append(OpenConnection(self.replica, self.connection_id))

    def _leave(self, now, why):
        self.actions.append(CloseConnection(self.connection_id, why))
        self._next_target(now)

    def _next_target(self, now):
        """The next replica at once, or after a pause that grows when all of them failed."""
        self.connected = self.dialling = False
        self.counters["moves"] += 1
        self.failures += 1
        self.target = (self.target + 1) % len(self.replicas)
        rounds, rest = divmod(self.failures, len(self.replicas))
        pause = 0 if rest else min(self.pace.retry_first << min(rounds - 1, 8), self.pace.retry_most)
        spread = self.chance.randrange(self.pace.retry_first)  # against all dialling at once
        self.dial_at = now + pause + spread

    def _home_at(self):
        """When the first replica is tried again, if another one is followed."""
        return self.since + self.pace.return_home if self.target else 2**62

    def _go_home(self, now):
        self.actions.append(CloseConnection(self.connection_id, "back to the first replica"))
        self.connected, self.target = False, 0
        self.counters["moves"] += 1
        self.dial_at = now + self.chance.randrange(self.pace.retry_first)

    # ---- what the replica says

    def _on_heartbeat(self, now, message):
        if 0 < message.echo <= now:
            self.freshness.heard(message.echo, message.commit, message.age, self.revision)
        self.replica_age = message.age
        if message.age > self.pace.stale:
            self._leave_stale(now)
            return
        self.failures = self.stale_moves = 0
        if message.commit == self.revision and message.digest != self.store.digest and now >= self.repair_at:
            self.repair_at = now + self.pace.silence
            self.counters["repairs"] += 1
            self._say(Repair(self.store.digests))
        self._say(Confirm(self.revision, now))

    def _leave_stale(self, now):
        """Another replica may reach the majority. Once all were found apart from it, each is kept a while."""
        all_tried = self.stale_moves >= len(self.replicas)
        if all_tried and now - self.since < self.pace.stale:
            self._say(Confirm(self.revision, now))
            return
        self.stale_moves += 1
        self._leave(now, "apart from the majority")

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
        self.freshness.reached(self.revision)
        self._say(Confirm(self.revision, now))

    def _apply(self, entry):
        newer = self.store.apply(entry)
        if newer:
            self.applied.append(entry)
        return newer

    def _on_inventory(self, now, message):
        """Drops what was removed, and asks for what differs."""
        listed = {item.key: item for item in message.items}
        for held in self.store.inventory(message.bucket):
            item = listed.get(held.key)
            if item is None and held.revision <= message.upto:
                self._apply(Entry(held.key, message.upto, 0, "", None))
            elif item is not None and item.revision == held.revision and item != held:
                self.store.forget(held.key)  # spoilt: the same revision with another value
        missing = [item.revision for item in message.items if self._misses(item)]
        if missing:
            self._subscribe(now, min(missing) - 1)

    def _misses(self, item):
        held = self.store.get(item.key)
        return item.revision <= self.revision and (held is None or held.revision < item.revision)

    def _subscribe(self, now, revision):
        allowance = max(0, int(self.bucket.available(now)))
        self._say(Subscribe(self.cluster, VERSION, self.name, revision, now, allowance))

    def _say(self, message):
        self.actions.append(SendMessage(self.connection_id, encode(message)))

"""A writer: puts, removes and rolls back keys, and retries a call under its idempotency key."""

from dataclasses import dataclass

from embertray.cluster.replication.exceptions import NotLeaderError, WriteRejectedError
from embertray.simulation.emulator.engine import NS_PER_MS, NS_PER_SECOND

# Time until a call without an answer is made again, elsewhere.
ANSWER_TIMEOUT_NS = 3 * NS_PER_SECOND
# Time until a call that was rejected is made again.
RETRY_PAUSE_NS = 300 * NS_PER_MS
# Parts of the writes that remove a key, and that restore its former value.
REMOVED = 0.1
ROLLED_BACK = 0.1
MAX_ATTEMPTS = 20
# Bytes of a write besides its value, at the most.
WRITE_OVERHEAD_BYTES = 300


@dataclass
class Call:
    """One write.

    Attributes:
        key: Its key.
        value: bytes; None removes the key.
        request: Its idempotency key.
        attempts: Attempts made.
        done: Whether its result is known, or it was given up.
    """

    key: str
    value: bytes | None
    request: str
    attempts: int = 0
    done: bool = False


class Writer:
    """Writes to one replica after the other until the leader takes it.

    Args:
        play: The ControlPlay.
        settings: Its Settings.

    Attributes:
        count: Writes begun.
        acknowledged: Writes that are known to be committed.
        given_up: Writes that were tried too often.
        burst_bytes: The size of a write that others may wait behind.
    """

    def __init__(self, play, settings):
        self.play = play
        self.settings = settings
        self.chance = play.draw("writer")
        self.count = 0
        self.acknowledged = 0
        self.given_up = 0
        self.running = False
        self.burst_bytes = settings.value[1] + WRITE_OVERHEAD_BYTES

    def start(self):
        """Starts writing."""
        self.running = True
        self._plan()

    def stop(self):
        """Stops writing; what has begun goes on."""
        self.running = False

    def _plan(self):
        wait = int(self.chance.expovariate(1 / self.settings.write_every))
        self.play.engine.at(self.play.engine.time + wait, self._write)

    def _write(self):
        if not self.running:
            return
        self._plan()
        self.count += 1
        key = f"key/{self.chance.randrange(self.settings.keys)}"
        self.begin(Call(key, self._value(key), f"q{self.count}"))

    def _value(self, key):
        draw = self.chance.random()
        if draw < REMOVED:
            return None
        former = self._former(key) if draw < REMOVED + ROLLED_BACK else None
        return former or self.chance.randbytes(self.chance.randint(*self.settings.value))

    def _former(self, key):
        """The value of the oldest version that some replica keeps: a rollback."""
        living = self.play.living
        versions = living[0].core.store.versions.get(key, ()) if living else ()
        return versions[0].value if versions else None

    def begin(self, call):
        """Makes the first attempt of a write.

        Args:
            call: The Call.
        """
        self._attempt(call, self.chance.choice(self.play.replica_names))

    def _attempt(self, call, name):
        if call.done:
            return
        if call.attempts >= MAX_ATTEMPTS:
            self.given_up += 1
            call.done = True
            return
        call.attempts += 1
        attempt = call.attempts
        replica = self.play.replicas[name]
        replica.put(
            call.key, call.value, call.request, lambda outcome: self._known(call, attempt, name, outcome)
        )
        self.play.engine.at(self.play.engine.time + ANSWER_TIMEOUT_NS, self._overdue, call, attempt)

    def _overdue(self, call, attempt):
        if not call.done and call.attempts == attempt:
            self._attempt(call, self.chance.choice(self.play.replica_names))

    def _known(self, call, attempt, name, outcome):
        if call.done:
            return
        if not isinstance(outcome, WriteRejectedError):
            self._acknowledge(call, outcome)
        elif call.attempts == attempt:
            elsewhere = isinstance(outcome, NotLeaderError) and outcome.leader
            target = outcome.leader if elsewhere else self.chance.choice(self.play.replica_names)
            self.play.engine.at(self.play.engine.time + RETRY_PAUSE_NS, self._attempt, call, target)

    def _acknowledge(self, call, entry):
        call.done = True
        self.acknowledged += 1
        now = self.play.engine.time
        replicas = self.play.replicas.values()
        durable = sum(replica.has_saved(entry.revision) for replica in replicas)
        majority = len(replicas) // 2 + 1
        self.play.claims.acknowledge(now, entry.revision, call.key, call.value, durable, majority)

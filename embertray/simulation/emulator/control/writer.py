"""A client that puts, removes and rolls back keys, and retries a write under its idempotency key."""

from dataclasses import dataclass

from embertray.cluster.replication.exceptions import NotLeaderError, WriteRejectedError
from embertray.simulation.emulator.engine import NS_PER_MS, NS_PER_SECOND

# Time until a write without an answer is retried at another replica.
ANSWER_TIMEOUT_NS = 3 * NS_PER_SECOND
# Time until a rejected write is retried.
RETRY_PAUSE_NS = 300 * NS_PER_MS
# Parts of the writes that remove a key, and that restore its oldest kept value.
REMOVED_PART = 0.1
ROLLED_BACK_PART = 0.1
MAX_ATTEMPTS = 20
# Upper bound of a write's encoded size beyond its value, bytes.
WRITE_OVERHEAD_BYTES = 300


@dataclass
class Write:
    """One write.

    Attributes:
        key: Its key.
        value: bytes; None removes the key.
        request: Its idempotency key.
        attempts: Attempts made.
        done: Whether its outcome is known or it was given up.
    """

    key: str
    value: bytes | None
    request: str
    attempts: int = 0
    done: bool = False


class Writer:
    """Sends writes to one replica after the other until the leader accepts them.

    Args:
        simulation: The ControlPlaneSimulation.
        settings: Its Settings.

    Attributes:
        count: Writes begun.
        acknowledged: Writes that are known to be committed.
        given_up: Writes abandoned after MAX_ATTEMPTS.
        burst_bytes: The largest size of a write, which may delay the writes behind it.
    """

    def __init__(self, simulation, settings):
        self.simulation = simulation
        self.settings = settings
        self.rng = simulation.random_for("writer")
        self.count = 0
        self.acknowledged = 0
        self.given_up = 0
        self.running = False
        self.burst_bytes = settings.value[1] + WRITE_OVERHEAD_BYTES

    def start(self):
        """Starts writing."""
        self.running = True
        self._schedule_next()

    def stop(self):
        """Begins no more writes; those in flight continue."""
        self.running = False

    def _schedule_next(self):
        wait = int(self.rng.expovariate(1 / self.settings.write_every))
        self.simulation.engine.at(self.simulation.engine.time + wait, self._start_write)

    def _start_write(self):
        if not self.running:
            return
        self._schedule_next()
        self.count += 1
        key = f"key/{self.rng.randrange(self.settings.keys)}"
        self.begin(Write(key, self._value(key), f"q{self.count}"))

    def _value(self, key):
        draw = self.rng.random()
        if draw < REMOVED_PART:
            return None
        oldest = self._oldest_value(key) if draw < REMOVED_PART + ROLLED_BACK_PART else None
        return oldest or self.rng.randbytes(self.rng.randint(*self.settings.value))

    def _oldest_value(self, key):
        """The value of the oldest version that a replica keeps, for a rollback."""
        running = self.simulation.running_replicas
        versions = running[0].core.store.versions.get(key, ()) if running else ()
        return versions[0].value if versions else None

    def begin(self, write):
        """Makes the first attempt of a write.

        Args:
            write: The Write.
        """
        self._attempt(write, self.rng.choice(self.simulation.replica_names))

    def _attempt(self, write, name):
        if write.done:
            return
        if write.attempts >= MAX_ATTEMPTS:
            self.given_up += 1
            write.done = True
            return
        write.attempts += 1
        attempt = write.attempts
        replica = self.simulation.replicas[name]
        replica.put(
            write.key,
            write.value,
            write.request,
            lambda outcome: self._on_outcome(write, attempt, name, outcome),
        )
        self.simulation.engine.at(
            self.simulation.engine.time + ANSWER_TIMEOUT_NS, self._on_timeout, write, attempt
        )

    def _on_timeout(self, write, attempt):
        if not write.done and write.attempts == attempt:
            self._attempt(write, self.rng.choice(self.simulation.replica_names))

    def _on_outcome(self, write, attempt, name, outcome):
        if write.done:
            return
        if not isinstance(outcome, WriteRejectedError):
            self._acknowledge(write, outcome)
        elif write.attempts == attempt:
            elsewhere = isinstance(outcome, NotLeaderError) and outcome.leader
            target = outcome.leader if elsewhere else self.rng.choice(self.simulation.replica_names)
            self.simulation.engine.at(
                self.simulation.engine.time + RETRY_PAUSE_NS, self._attempt, write, target
            )

    def _acknowledge(self, write, entry):
        write.done = True
        self.acknowledged += 1
        now = self.simulation.engine.time
        replicas = self.simulation.replicas.values()
        durable = sum(replica.has_saved(entry.revision) for replica in replicas)
        majority = len(replicas) // 2 + 1
        self.simulation.claims.write_acknowledged(
            now, entry.revision, write.key, write.value, durable, majority
        )

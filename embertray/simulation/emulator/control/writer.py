"""A writer: puts, removes and rolls back keys, and repeats a call under its request until it is known."""

from dataclasses import dataclass

from embertray.cluster.replication.exceptions import NotLeaderError, WriteRejectedError

MS, S = 10**6, 10**9
ANSWER_WITHIN = 3 * S  # ns until a call is made again, elsewhere
PAUSE = 300 * MS  # ns after a refusal
REMOVED, ROLLED_BACK = 0.1, 0.1  # shares of the writes
ATTEMPTS_MOST = 20


@dataclass
class Call:
    """One write, and its attempts."""

    key: str
    value: bytes | None
    request: str
    attempts: int = 0
    done: bool = False


class Writer:
    """Writes to one replica after the other until the leader takes it."""

    def __init__(self, play, settings):
        self.play, self.settings, self.chance = play, settings, play.draw("writer")
        self.count, self.acknowledged, self.given_up, self.running = 0, 0, 0, False
        self.burst_bytes = settings.value[1] + 300  # of a write that others wait behind

    def start(self):
        """Writes from now on."""
        self.running = True
        self._plan()

    def stop(self):
        """No further writes begin."""
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
        """Makes the first attempt."""
        self._attempt(call, self.chance.choice(self.play.replica_names))

    def _attempt(self, call, name):
        if call.done:
            return
        if call.attempts >= ATTEMPTS_MOST:
            self.given_up += 1
            call.done = True
            return
        call.attempts += 1
        attempt = call.attempts
        replica = self.play.replicas[name]
        replica.put(
            call.key, call.value, call.request, lambda outcome: self._known(call, attempt, name, outcome)
        )
        self.play.engine.at(self.play.engine.time + ANSWER_WITHIN, self._overdue, call, attempt)

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
            self.play.engine.at(self.play.engine.time + PAUSE, self._attempt, call, target)

    def _acknowledge(self, call, entry):
        call.done = True
        self.acknowledged += 1
        now, replicas = self.play.engine.time, self.play.replicas.values()
        durable = sum(replica.has_saved(entry.revision) for replica in replicas)
        majority = len(replicas) // 2 + 1
        self.play.claims.acknowledge(now, entry.revision, call.key, call.value, durable, majority)

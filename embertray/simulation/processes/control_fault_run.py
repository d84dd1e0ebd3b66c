"""A control plane of true processes that faults strike one after the other, while writes go on."""

import random
import tempfile
import threading
import time
from contextlib import contextmanager
from dataclasses import dataclass, field

from embertray.cluster.replication.api_messages import Committed
from embertray.cluster.replication.propagation_bounds import Bounds

from .control_plane import ControlPlane
from .control_record import ControlRecord
from .control_timing import scaled_timings

S = 10**9
FAULTS = ("kill", "stop", "split")
FAULT_SECONDS = 10.0  # that a process stands still, or links are broken, at scale 1
DOWN_SECONDS = 3.0  # that a killed process stays away at the most, at scale 1
CALM_SECONDS = 1.0  # between the end of one fault and the next one, at scale 1
CALM_AT_END = 8.0  # of writes with nothing broken, after the bound on any faults, at scale 1
KEYS = 20
REMOVED = 0.1  # share of the writes that remove a key
ROLLED_BACK = 0.1  # share of the writes that go back to an earlier version
FORGETFUL = 4  # each so many kills, one of a replica takes what it had on disk
WRITE_PAUSE = 0.05  # s between two writes of one writer
WRITERS = 2


@dataclass
class Struck:
    """One fault, and the seconds from its end until all had all that was acknowledged."""

    kind: str
    what: str
    settled_s: float = 0.0


@dataclass
class PlayResult:
    """What a play found."""

    claims: object
    faults: list = field(default_factory=list)
    outcomes: dict = field(default_factory=dict)
    seconds: float = 0.0


@contextmanager
def recorded_plane(folder, replicas=3, subscribers=2, scale=0.25, seed=1, programs=None, limits=None):
    """A ControlRecord of a control plane that runs, with links and a leader, looked at all the while.

    Args:
        folder: where descriptions, logs and saved states stand.
        replicas: how many.
        subscribers: how many.
        scale: of all times of the control plane.
        seed: of what the links do by chance.
        programs: name -> what runs in place of control_process.py.
        limits: the TimeLimits to judge by; None: those of the stated bounds.
    """
    plane = ControlPlane(folder, replicas, subscribers, scale)
    plane.programs.update(programs or {})
    bounds = Bounds(*scaled_timings(scale))
    with plane.linked(seed).running():
        record = ControlRecord(plane, bounds, limits)
        looker = threading.Thread(target=record.keep_looking)
        try:
            plane.all_up()
            plane.wait(plane.leader, "a leader")
            # On a busy machine two replicas may elect a leader while the third has not heard that all began
            # with nothing. It has no vote then until its silence is over and the leader has admitted it: a
            # fault that takes one of the others meanwhile leaves no majority, and no write is committed.
            plane.wait(lambda: all(map(plane.votes, plane.replicas)), "all replicas vote")
            plane.wait(lambda: all(map(plane.knows_age, plane.controllers)), "subscribers know their age")
            looker.start()
            yield record
        finally:
            record.ending.set()
            if looker.ident is not None:
                looker.join()
            plane.end()


class ControlPlay:
    """Strikes a ControlRecord's plane; all choices come from `seed`."""

    def __init__(self, record, scale, seed):
        self.record = record
        self.plane = record.plane
        self.scale = scale
        self.chance = random.Random(f"{seed} faults")
        self.kills = 0
        self.seed = seed
        self.strikes = []

    def run(self, each, show=lambda text: None):
        """`each` faults of each kind, in a random order; a PlayResult."""
        began = time.monotonic()
        writers = [threading.Thread(target=self._keep_writing, args=(n,)) for n in range(WRITERS)]
        for writer in writers:
            writer.start()
        kinds = [kind for kind in FAULTS for _ in range(each)]
        self.chance.shuffle(kinds)
        try:
            for kind in kinds:
                struck = getattr(self, f"_{kind}")()
                struck.settled_s = self._settle()
                self.strikes.append(struck)
                settled = f"all had caught up {struck.settled_s:.1f} s later"
                show(f"{len(self.strikes)} of {len(kinds)}: {struck.what}, {settled}")
                time.sleep(CALM_SECONDS * self.scale)
            time.sleep(self.record.bounds.any_fault / S + CALM_AT_END * self.scale)
        finally:
            self.record.ending.set()
            for writer in writers:
                writer.join()
        self._settle()
        claims = self.record.judge()
        return PlayResult(claims, self.strikes, dict(self.record.outcomes), time.monotonic() - began)

    # ---- faults

    def _kill(self):
        name = self._victim()
        replica = name in self.plane.replicas
        self.kills += replica
        forgets = replica and self.kills % FORGETFUL == 0
        self.record.fault([] if replica else [name])
        self.plane.kill(name)
        if forgets:
            self.plane.forget(name)
        time.sleep(self.chance.random() * DOWN_SECONDS * self.scale)
        self.plane.up(name)
        self.plane.wait(lambda: self.plane.status(name), f"{name} answers")
        self.record.fault_over(name)
        return Struck("kill", f"{name} killed" + (", its disk lost" if forgets else ""))

    def _stop(self):
        name = self._victim()
        self.record.fault([] if name in self.plane.replicas else [name])
        self.plane.pause(name)
        time.sleep(FAULT_SECONDS * self.scale)
        self.plane.resume(name)
        self.record.fault_over(name)
        return Struck("stop", f"{name} stopped")

    def _split(self):
        everyone = [*self.plane.replicas, *self.plane.controllers]
        self.record.fault(self.plane.controllers)
        if self.chance.random() < 0.5:
            pairs = self.chance.sample(sorted(self.plane.links.ways), 4)
            self.plane.links.close(*pairs)
            what = "one way: " + ", ".join(f"{a} to {b}" for a, b in pairs)
        else:
            self.chance.shuffle(everyone)
            cut = self.chance.randrange(1, len(everyone))
            self.plane.links.part(everyone[:cut], everyone[cut:])
            what = f"split: {' '.join(sorted(everyone[:cut]))} from the others"
        time.sleep(FAULT_SECONDS * self.scale)
        self.plane.links.mend()
        self.record.fault_over("split")
        return Struck("split", what)

    def _victim(self):
        """A replica as often as a subscriber; of the replicas the leader as often as not."""
        if self.chance.random() < 0.5:
            return self.chance.choice(self.plane.controllers)
        if self.chance.random() < 0.5 and (leader := self.plane.leader()):
            return leader
        return self.chance.choice(self.plane.replicas)

    # ---- the rest

    def _keep_writing(self, number):
        """Writes keys, removes some, and rolls some back to what this writer wrote before."""
        chance = random.Random(f"{self.seed} writer {number}")
        count = 0
        written = {}  # key -> (revision, value) that this writer wrote last
        while not self.record.ending.wait(WRITE_PAUSE):
            count += 1
            key = f"key-{chance.randrange(KEYS)}"
            at = chance.choice(self.plane.replicas)
            request = f"{self.seed}-{number}-{count}"
            kind = chance.random()
            value = f"{number} {count}".encode() * chance.randrange(1, 20)
            if kind < REMOVED:
                value = None
            if kind > 1 - ROLLED_BACK and key in written:
                version, value = written[key]
                outcome = self.record.rollback(at, key, version, value, request, within=2.0)
            else:
                outcome = self.record.put(at, key, value, request, within=2.0)
            if isinstance(outcome, Committed):
                written[key] = outcome.revision, value

    def _settle(self):
        """Seconds until all hold all that was acknowledged until now."""
        began = time.monotonic()
        revision = self.record.newest
        most = (2 * self.record.bounds.any_fault) / S

        def reached():
            statuses = [self.plane.status(name) for name in self.plane.running]
            return None not in statuses and min(one["revision"] for one in statuses) >= revision

        self.plane.wait(reached, f"all hold revision {revision}", most)
        return time.monotonic() - began


def play(faults, seed, scale, replicas=3, subscribers=6, folder=None, show=lambda text: None, limits=None):
    """Plays `faults` of each kind, and gives a PlayResult.

    `folder` is where logs and states stay, a temporary one if None; the others are those of recorded_plane.
    """
    with tempfile.TemporaryDirectory() as temporary:
        where = folder or temporary
        with recorded_plane(where, replicas, subscribers, scale, seed, limits=limits) as record:
            return ControlPlay(record, scale, seed).run(faults, show)

"""Injects faults into a control plane of processes, one after the other, while writers run."""

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

NS_PER_SECOND = 10**9
FAULT_KINDS = ("kill", "stop", "split")
FAULT_DURATION_S = 10.0  # of a suspended process or of faulty links, at scale 1
MAX_DOWNTIME_S = 3.0  # before a killed process is restarted, at scale 1
PAUSE_AFTER_FAULT_S = 1.0  # at scale 1
FINAL_QUIET_S = 8.0  # of writes without faults, after the bound for any fault, at scale 1
KEY_COUNT = 20
REMOVE_SHARE = 0.1  # of the writes
ROLLBACK_SHARE = 0.1  # of the writes
KILLS_PER_DISK_LOSS = 4  # one in so many killed replicas also loses its stored state
WRITE_PAUSE_S = 0.05  # between two writes of one writer
WRITER_COUNT = 2


@dataclass
class InjectedFault:
    """One fault, and the seconds from its end until all processes held all acknowledged writes."""

    kind: str
    what: str
    settled_s: float = 0.0


@dataclass
class FaultRunResult:
    """The outcome of a FaultRun: claims, faults, counts of write outcomes and the duration in s."""

    claims: object
    faults: list = field(default_factory=list)
    outcomes: dict = field(default_factory=dict)
    seconds: float = 0.0


@contextmanager
def recorded_plane(folder, replicas=3, subscribers=2, scale=0.25, seed=1, programs=None, limits=None):
    """Runs a control plane with links, and yields its ControlRecord once it has a leader.

    Subscribers are sampled until the context ends.

    Args:
        folder: where site descriptions, logs and stored states are written.
        replicas: number of replicas.
        subscribers: number of subscribers.
        scale: factor of all times of the control plane.
        seed: seed of the links' random faults.
        programs: name -> Python arguments that run in place of control_process.py.
        limits: the TimeLimits that the claims are checked by; None: those of the stated bounds.
    """
    plane = ControlPlane(folder, replicas, subscribers, scale)
    plane.programs.update(programs or {})
    bounds = Bounds(*scaled_timings(scale))
    with plane.add_links(seed).running():
        record = ControlRecord(plane, bounds, limits)
        sampler = threading.Thread(target=record.sample_until_stopped)
        try:
            plane.all_up()
            plane.wait(plane.leader, "a leader")
            # On a busy machine two replicas may elect a leader before the third has heard that all of them
            # started empty. The third then has no vote until its recovery silence is over and the leader has
            # admitted it. A fault of another replica meanwhile leaves no majority, and no write is committed.
            plane.wait(lambda: all(map(plane.is_voter, plane.replicas)), "all replicas vote")
            plane.wait(lambda: all(map(plane.knows_age, plane.controllers)), "subscribers know their age")
            sampler.start()
            yield record
        finally:
            record.stop_requested.set()
            if sampler.ident is not None:
                sampler.join()
            plane.end()


class FaultRun:
    """Injects faults into the control plane of a ControlRecord while writers run.

    Args:
        record: the ControlRecord.
        scale: factor of the durations.
        seed: seed of all random choices.
    """

    def __init__(self, record, scale, seed):
        self.record = record
        self.plane = record.plane
        self.scale = scale
        self.rng = random.Random(f"{seed} faults")
        self.kills = 0
        self.seed = seed
        self.injected = []

    def run(self, count_per_kind, show=lambda text: None):
        """Injects `count_per_kind` faults of each kind in a random order; returns a FaultRunResult."""
        started_at = time.monotonic()
        writers = [threading.Thread(target=self._keep_writing, args=(n,)) for n in range(WRITER_COUNT)]
        for writer in writers:
            writer.start()
        kinds = [kind for kind in FAULT_KINDS for _ in range(count_per_kind)]
        self.rng.shuffle(kinds)
        try:
            for kind in kinds:
                injected_fault = getattr(self, f"_{kind}")()
                injected_fault.settled_s = self._settle()
                self.injected.append(injected_fault)
                settled = f"all had caught up {injected_fault.settled_s:.1f} s later"
                show(f"{len(self.injected)} of {len(kinds)}: {injected_fault.what}, {settled}")
                time.sleep(PAUSE_AFTER_FAULT_S * self.scale)
            time.sleep(self.record.bounds.any_fault / NS_PER_SECOND + FINAL_QUIET_S * self.scale)
        finally:
            self.record.stop_requested.set()
            for writer in writers:
                writer.join()
        self._settle()
        claims = self.record.check_claims()
        return FaultRunResult(
            claims, self.injected, dict(self.record.outcomes), time.monotonic() - started_at
        )

    # ---- faults

    def _kill(self):
        name = self._choose_target()
        replica = name in self.plane.replicas
        self.kills += replica
        loses_disk = replica and self.kills % KILLS_PER_DISK_LOSS == 0
        self.record.fault_started([] if replica else [name])
        self.plane.kill(name)
        if loses_disk:
            self.plane.delete_stored_state(name)
        time.sleep(self.rng.random() * MAX_DOWNTIME_S * self.scale)
        self.plane.up(name)
        self.plane.wait(lambda: self.plane.status(name), f"{name} answers")
        self.record.fault_ended(name)
        return InjectedFault("kill", f"{name} killed" + (", its disk lost" if loses_disk else ""))

    def _stop(self):
        name = self._choose_target()
        self.record.fault_started([] if name in self.plane.replicas else [name])
        self.plane.pause(name)
        time.sleep(FAULT_DURATION_S * self.scale)
        self.plane.resume(name)
        self.record.fault_ended(name)
        return InjectedFault("stop", f"{name} stopped")

    def _split(self):
        everyone = [*self.plane.replicas, *self.plane.controllers]
        self.record.fault_started(self.plane.controllers)
        if self.rng.random() < 0.5:
            pairs = self.rng.sample(sorted(self.plane.links.links), 4)
            self.plane.links.block(*pairs)
            what = "one way: " + ", ".join(f"{a} to {b}" for a, b in pairs)
        else:
            self.rng.shuffle(everyone)
            cut = self.rng.randrange(1, len(everyone))
            self.plane.links.partition(everyone[:cut], everyone[cut:])
            what = f"split: {' '.join(sorted(everyone[:cut]))} from the others"
        time.sleep(FAULT_DURATION_S * self.scale)
        self.plane.links.restore()
        self.record.fault_ended("split")
        return InjectedFault("split", what)

    def _choose_target(self):
        """Chooses a subscriber with 50%, the leader with 25% if there is one, otherwise any replica."""
        if self.rng.random() < 0.5:
            return self.rng.choice(self.plane.controllers)
        if self.rng.random() < 0.5 and (leader := self.plane.leader()):
            return leader
        return self.rng.choice(self.plane.replicas)

    # ---- writers

    def _keep_writing(self, number):
        """Writes keys, removes some, and rolls some back to a version that this writer wrote before."""
        rng = random.Random(f"{self.seed} writer {number}")
        count = 0
        written = {}  # key -> (revision, value) that this writer wrote last
        while not self.record.stop_requested.wait(WRITE_PAUSE_S):
            count += 1
            key = f"key-{rng.randrange(KEY_COUNT)}"
            at = rng.choice(self.plane.replicas)
            request = f"{self.seed}-{number}-{count}"
            kind = rng.random()
            value = f"{number} {count}".encode() * rng.randrange(1, 20)
            if kind < REMOVE_SHARE:
                value = None
            if kind > 1 - ROLLBACK_SHARE and key in written:
                version, value = written[key]
                outcome = self.record.rollback(at, key, version, value, request, within=2.0)
            else:
                outcome = self.record.put(at, key, value, request, within=2.0)
            if isinstance(outcome, Committed):
                written[key] = outcome.revision, value

    def _settle(self):
        """Waits until all processes hold all writes acknowledged so far; returns the seconds it took."""
        started_at = time.monotonic()
        revision = self.record.newest_acknowledged
        timeout_s = (2 * self.record.bounds.any_fault) / NS_PER_SECOND

        def caught_up():
            statuses = [self.plane.status(name) for name in self.plane.running]
            return None not in statuses and min(one["revision"] for one in statuses) >= revision

        self.plane.wait(caught_up, f"all hold revision {revision}", timeout_s)
        return time.monotonic() - started_at


def run_with_faults(
    faults, seed, scale, replicas=3, subscribers=6, folder=None, show=lambda text: None, limits=None
):
    """Injects `faults` of each kind into a new control plane, and returns a FaultRunResult.

    Logs and states are kept in `folder`, a temporary one if None; the other arguments are those of
    recorded_plane.
    """
    with tempfile.TemporaryDirectory() as temporary:
        where = folder or temporary
        with recorded_plane(where, replicas, subscribers, scale, seed, limits=limits) as record:
            return FaultRun(record, scale, seed).run(faults, show)

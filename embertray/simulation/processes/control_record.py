"""Records the events of a control plane of processes, and checks its claims at the end.

Committed, saved, applied and restored entries are read from the processes' logs; acknowledged writes and
samples of the subscribers' status are recorded here. All times are ns of the machine's wall clock.
"""

import threading
import time
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from urllib.parse import urlencode

import anyio

from embertray.cluster.replication.api_messages import Committed
from embertray.cluster.replication.entry import Entry
from embertray.cluster.replication.link.entry_log import value_digest
from embertray.service.admin.control_client import UnreachableError, write
from embertray.simulation.claims.control import ControlClaims

from .time_limits import limits_by_bounds

SECOND_NS = 10**9
SAMPLE_PERIOD_S = 0.1  # between two samples of a subscriber
EPOCH = datetime(1970, 1, 1, tzinfo=UTC)


@dataclass(frozen=True)
class StatusSample:
    """The status of a subscriber at one time.

    Attributes:
        subscriber: its name.
        revision: the newest revision that it holds.
        age: reported age of its entries, ns; None: it does not know.
        in_reach_since: ns since when it has been within reach of all it needs; None: it is not.
        good_links_since: ns since when the bound for good links applies; None: it does not.
    """

    subscriber: str
    revision: int
    age: int | None
    in_reach_since: int | None
    good_links_since: int | None


@dataclass(frozen=True)
class Acknowledgement:
    """The answer to a writer that its write is committed."""

    revision: int
    key: str
    digest: str | None


class ControlRecord:
    """Records the events of a running ControlPlane, and writes to it.

    Args:
        plane: the ControlPlane.
        bounds: the replication's Bounds at the plane's scale.
        limits: the TimeLimits that the claims are checked by; None: those of the bounds.
    """

    def __init__(self, plane, bounds, limits=None):
        self.plane = plane
        self.bounds = bounds
        self.limits = limits or limits_by_bounds(bounds)
        self.events = []  # (ns, Acknowledgement or StatusSample)
        self.in_reach_since = {}  # subscriber -> ns since when it is within reach; None: it is not
        self.outcomes = {}  # class name of a write's outcome -> count
        self.stop_requested = threading.Event()
        self.lock = threading.Lock()
        self.fault_ended("start")

    # ---- faults

    def fault_started(self, cut=()):
        """Marks the start of a fault; `cut`: subscribers that cannot reach all they need."""
        now = time.time_ns()
        self.in_reach_since = {name: None if name in cut else now for name in self.plane.controllers}

    def fault_ended(self, what):
        """Marks the time from which all processes run and all links are good."""
        now = time.time_ns()
        self.in_reach_since = dict.fromkeys(self.plane.controllers, now)

    # ---- writes

    def put(self, at, key, value, request, within=10.0):
        """Writes through the replica `at`; returns the outcome, or None if the replica is unreachable."""
        method = "DELETE" if value is None else "PUT"
        return self._write(at, method, "/control/key", {"key": key, "request": request}, value, within)

    def rollback(self, at, key, version, value, request, within=10.0):
        """Rolls a key back through the replica `at`, as `put`; `value`: its value at that version."""
        query = {"key": key, "version": version, "request": request}
        return self._write(at, "POST", "/control/rollback", query, value, within)

    def _write(self, at, method, path, query, value, within):
        body = value if method == "PUT" else b""
        try:
            outcome = anyio.run(
                write, self.plane.admin(at), method, f"{path}?{urlencode(query)}", body, within
            )
        except UnreachableError:
            outcome = None
        with self.lock:
            kind = "Unreachable" if outcome is None else type(outcome).__name__
            self.outcomes[kind] = self.outcomes.get(kind, 0) + 1
            if isinstance(outcome, Committed):
                acknowledgement = Acknowledgement(outcome.revision, query["key"], value_digest(value))
                self.events.append((time.time_ns(), acknowledgement))
        return outcome

    @property
    def newest_acknowledged(self):
        """The newest acknowledged revision; 0 if there is none."""
        with self.lock:
            return max(
                (one.revision for _, one in self.events if isinstance(one, Acknowledgement)), default=0
            )

    # ---- samples

    def sample(self):
        """Records the status of each subscriber that can answer."""
        for name in self.plane.controllers:
            if name not in self.plane.active_names:
                continue
            in_reach_since = self.in_reach_since[name]
            now = time.time_ns()
            status = self.plane.status(name)
            if status is None or in_reach_since != self.in_reach_since[name]:
                continue
            age = None if status["age_s"] is None else round(status["age_s"] * SECOND_NS)
            good_links_since = None if in_reach_since is None else in_reach_since + self.bounds.any_fault
            with self.lock:
                self.events.append(
                    (now, StatusSample(name, status["revision"], age, in_reach_since, good_links_since))
                )

    def sample_until_stopped(self):
        """Takes samples until `stop_requested` is set; to be run in a thread."""
        while not self.stop_requested.wait(SAMPLE_PERIOD_S):
            self.sample()

    def all_identical_at(self, revision):
        """Whether all running processes hold the same entries, at `revision` or later."""
        statuses = [self.plane.status(name) for name in self.plane.running]
        if None in statuses or min(one["revision"] for one in statuses) < revision:
            return False
        return len({(one["revision"], one["digest"]) for one in statuses}) == 1

    # ---- claims

    def check_claims(self):
        """Returns ControlClaims that were given all events in the order of time."""
        claims = ControlClaims()
        plane = self.plane
        majority = len(plane.replicas) // 2 + 1
        saved = dict.fromkeys(plane.replicas, 0)
        for now, name, event in sorted(self._all_events(), key=lambda one: one[0]):
            if isinstance(event, Acknowledgement):
                durable = sum(revision >= event.revision for revision in saved.values())
                value = None if event.digest is None else event.digest.encode()
                claims.write_acknowledged(now, event.revision, event.key, value, durable, majority)
            elif isinstance(event, StatusSample):
                self._check_sample(claims, now, event)
            elif event["event"] == "saved":
                saved[name] = event["revision"]
            elif event["event"] == "committed":
                claims.entry_committed(now, name, entry_from_row(event))
            elif event["event"] == "started":
                claims.subscriber_emptied(name)
            else:
                claims.entry_applied(now, name, entry_from_row(event))
        statuses = {name: plane.status(name) for name in plane.controllers if name in plane.active_names}
        final = {name: (one["revision"], one["digest"]) for name, one in statuses.items() if one}
        claims.check_identical(time.time_ns(), final)
        return claims

    def _check_sample(self, claims, now, sample):
        claims.check_age(now, sample.subscriber, sample.revision, sample.age)
        claims.check_in_force(
            now, sample.subscriber, sample.revision, sample.in_reach_since, self.limits.in_force
        )
        if sample.good_links_since is None or now < sample.good_links_since:
            claims.check_in_force(now, sample.subscriber, sample.revision, None, 0, "prompt")
        else:
            claims.check_in_force(
                now, sample.subscriber, sample.revision, sample.good_links_since, self.limits.prompt, "prompt"
            )

    def _all_events(self):
        """Yields (ns, process name or "", event) of writers, samples and logs."""
        with self.lock:
            yield from ((now, "", event) for now, event in self.events)
        wanted = {"replica": ("committed", "saved"), "subscriber": ("started", "applied", "restored")}
        for name in [*self.plane.replicas, *self.plane.controllers]:
            events = wanted["replica" if name in self.plane.replicas else "subscriber"]
            for row in self.plane.log_rows(name):
                if row["event"] in events:
                    yield row_time_ns(row), name, row


def row_time_ns(row):
    """Returns the time at which a log row was written, ns since the epoch."""
    microseconds = (datetime.fromisoformat(row["timestamp"]) - EPOCH) // timedelta(microseconds=1)
    return microseconds * 1_000


def entry_from_row(row):
    """Returns the Entry of a log row, with the digest in place of the value."""
    value = None if row["digest"] is None else row["digest"].encode()
    return Entry(row["key"], row["revision"], row["term"], row["request"], value)

"""Runs one size of hollow members: plans its processes, starts them, and combines their reports."""

import subprocess
import sys
import time
from dataclasses import dataclass
from statistics import mean

import msgspec

from embertray.simulation.processes.ports import free_ports

from .messages import ClusterPlan, ReplicaPlan, Report, SubscriberPlan, Timetable

MS, S = 10**6, 10**9  # ns
START_DELAY = 4 * S  # ns from the plans to the first start: all processes have read them by then
REPORT_TIMEOUT_S = 120  # s after the window within which a worker has to report
MARKS = 3  # writes whose time until all members see them is measured
MIN_MEMBERS_PER_WORKER = 8  # per worker, so that they share the cost of the measurement itself
REPLICAS_PER_SUBSCRIBER = 3  # replicas that each subscriber may connect to


class WorkerFailedError(RuntimeError):
    """A worker process ended before it reported."""


@dataclass(frozen=True)
class Spans:
    """Seconds between the starts of two members, from the last start to the window, and of the window."""

    spread: float
    settle: float
    window: float


def timetables(size, spans, workers):
    """Returns a Timetable for each worker; member n belongs to worker n modulo their number."""
    first = time.monotonic_ns() + START_DELAY
    starts = [first + int(n * spans.spread * S) for n in range(size)]
    begin = starts[-1] + int(spans.settle * S)
    end = begin + int(spans.window * S)
    marks = [begin + (end - begin) * n // (MARKS + 1) for n in range(MARKS)]
    return [Timetable(starts[n::workers], begin, end, marks) for n in range(workers)]


def cluster_plans(size, workers, spans, period, facts_bytes):
    """Returns the plans of at most `workers` processes that share the members of a cluster."""
    names = [f"controller-{n}" for n in range(size)]
    addresses = {name: f"127.0.0.1:{port}" for name, port in zip(names, free_ports(size), strict=True)}
    workers = min(workers, max(1, size // MIN_MEMBERS_PER_WORKER))
    return [
        ClusterPlan(timetable, names[n::workers], addresses, period, facts_bytes, names[0])
        for n, timetable in enumerate(timetables(size, spans, workers))
    ]


def control_plans(size, workers, spans, replicas, keys, value_bytes):
    """Returns plans with a process for each replica, and `workers` processes for the subscribers."""
    names = [f"replica-{n}" for n in range(replicas)]
    ports = free_ports(2 * replicas)
    peers = {name: f"127.0.0.1:{ports[n]}" for n, name in enumerate(names)}
    listen = {name: f"127.0.0.1:{ports[replicas + n]}" for n, name in enumerate(names)}
    subscribers = [f"controller-{n}" for n in range(size)]
    follows = [
        [names[(n + k) % replicas] for k in range(min(REPLICAS_PER_SUBSCRIBER, replicas))]
        for n in range(size)
    ]
    schedules = timetables(size, spans, workers)
    replica_timetable = msgspec.structs.replace(schedules[0], starts=[schedules[0].starts[0] - S])
    return [ReplicaPlan(replica_timetable, [name], peers, listen, keys, value_bytes) for name in names] + [
        SubscriberPlan(timetable, subscribers[n::workers], listen, follows[n::workers])
        for n, timetable in enumerate(schedules)
    ]


def run(plans):
    """Runs a worker process for each plan, and returns their reports."""
    command = [sys.executable, "-m", "embertray.experiments.measure.scale.worker"]
    processes = []
    try:
        for plan in plans:
            process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
            processes.append(process)
            process.stdin.write(msgspec.json.encode(plan))
            process.stdin.close()
            process.stdin = None
        until = plans[0].timetable.window_until / S + REPORT_TIMEOUT_S
        outputs = [process.communicate(timeout=until - time.monotonic())[0] for process in processes]
    finally:
        for process in processes:
            if process.poll() is None:
                process.kill()
                process.wait()
    if failed := [process.returncode for process in processes if process.returncode]:
        raise WorkerFailedError(f"{len(failed)} of {len(processes)} worker processes failed; see stderr")
    return [msgspec.json.decode(output, type=Report) for output in outputs]


@dataclass
class Summary:
    """The figures of all members of one role at one size; rates are bytes or messages per second."""

    size: int
    count: int
    processor: float  # cores per member
    memory: float  # bytes per member, without those of the process before its members are made
    sent: float
    received: float
    sent_worst: float
    received_worst: float
    messages: float
    seen_min: int
    seen_mean: float
    oldest: float | None
    delays: dict  # mark -> (members that saw it, s until the last did)
    failures: int
    parts: dict


def summary(size, role, reports, window):
    """Combines the reports of one role."""
    reports = [report for report in reports if report.role == role]
    members = [member for report in reports for member in report.members]
    count = len(members)
    seen = {}
    for member in members:
        for mark, delay in member.delays.items():
            seen.setdefault(mark, []).append(delay)
    ages = [member.oldest for member in members]
    return Summary(
        size=size,
        count=count,
        processor=sum(report.processor for report in reports) / window / count,
        memory=sum(report.memory_after - report.memory_before for report in reports) / count,
        sent=mean(member.sent for member in members),
        received=mean(member.received for member in members),
        sent_worst=max(member.sent_worst for member in members),
        received_worst=max(member.received_worst for member in members),
        messages=mean(member.messages for member in members),
        seen_min=min(member.seen for member in members),
        seen_mean=mean(member.seen for member in members),
        oldest=None if None in ages else max(ages),
        delays={mark: (len(delays), max(delays)) for mark, delays in sorted(seen.items())},
        failures=sum(member.failures for member in members),
        parts={name: mean(member.parts[name] for member in members) for name in sorted(members[0].parts)},
    )

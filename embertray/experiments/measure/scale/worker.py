"""One process of hollow members: reads its plan from stdin, runs it, writes its report to stdout.

Started as `python -m embertray.experiments.measure.scale.worker`.
"""

import sys
import time
from importlib import import_module

import anyio
import msgspec
import psutil
import structlog

from embertray.common.net.clock import LoopClock

from .messages import ClusterPlan, MemberReport, Plan, ReplicaPlan, Report, SubscriberPlan
from .meter import Meter

MS, S = 10**6, 10**9  # ns
MARK_CHECK_INTERVAL = 100 * MS  # ns between checks for marks; a measured delay may be too long by this
READINGS_PER_AGE = 5  # readings of the counters per reading of the oldest entry, which walks all entries

ROLES = {  # plan -> (role, module of its members, function that makes them)
    ClusterPlan: ("member", "cluster_role", "members"),
    ReplicaPlan: ("replica", "control_role", "replicas"),
    SubscriberPlan: ("subscriber", "control_role", "subscribers"),
}


class Worker:
    """Runs the members of one plan and measures them in its window."""

    def __init__(self, plan):
        self.plan, self.clock = plan, LoopClock()
        self.role, module, factory = ROLES[type(plan)]
        # Imported here so that memory_before holds only what this role needs.
        role = import_module(f".{module}", __package__)
        self.memory_before = psutil.Process().memory_info().rss
        self.members = getattr(role, factory)(plan)
        self.meters = [Meter() for _ in self.members]
        self.oldest = [0] * len(self.members)  # ns for each member; None once it lacked an entry
        self.processor = 0.0

    async def run(self):
        """Runs the members until the window ends, and returns the Report."""
        async with anyio.create_task_group() as group:
            for member, when in zip(self.members, self.plan.timetable.starts, strict=True):
                group.start_soon(self.run_member, member, when)
            group.start_soon(self.check_marks)
            group.start_soon(self.write_marks)
            await self.measure()
            group.cancel_scope.cancel()
        return self.report()

    async def run_member(self, member, when):
        """Runs a member from its start time (ns) until it is cancelled."""
        await self.clock.sleep_until(when)
        await member.run()

    async def check_marks(self):
        """Looks for new marks at all members, at a fixed interval."""
        while True:
            await self.clock.sleep_until(self.clock.now() + MARK_CHECK_INTERVAL)
            now = self.clock.now()
            for member in self.members:
                member.check_marks(now)

    async def write_marks(self):
        """Writes each mark at its time."""
        for mark in self.plan.timetable.marks:
            await self.clock.sleep_until(mark)
            for member in self.members:
                await member.mark(mark)

    async def measure(self):
        """Reads all counters once a second during the window."""
        timetable, number = self.plan.timetable, 0
        await self.clock.sleep_until(timetable.window_from)
        processor = time.process_time()
        while (now := self.clock.now()) < timetable.window_until:
            self.read(now, number % READINGS_PER_AGE == 0)
            number += 1
            await self.clock.sleep_until(min(timetable.window_from + number * S, timetable.window_until))
        self.read(self.clock.now(), True)
        self.processor = time.process_time() - processor

    def read(self, now, ages):
        """Reads all counters, and with `ages` also the oldest entry of each member."""
        for n, (member, meter) in enumerate(zip(self.members, self.meters, strict=True)):
            meter.read(now, member.counters())
            if ages and self.oldest[n] is not None:
                age = member.oldest(now)
                self.oldest[n] = None if age is None else max(self.oldest[n], age)

    def report(self):
        """Returns the Report of all members."""
        rows = zip(self.members, self.meters, self.oldest, strict=True)
        memory = psutil.Process().memory_info().rss
        return Report(
            self.role,
            self.processor,
            self.memory_before,
            memory,
            [self.member_report(member, meter, oldest) for member, meter, oldest in rows],
        )

    @staticmethod
    def member_report(member, meter, oldest):
        """Returns the MemberReport of one member."""
        return MemberReport(
            name=member.name,
            sent=meter.rate("sent"),
            received=meter.rate("received"),
            sent_worst=meter.worst("sent"),
            received_worst=meter.worst("received"),
            messages=meter.rate("messages"),
            seen=member.seen(),
            oldest=None if oldest is None else oldest / S,
            delays={mark: delay / S for mark, delay in member.delays.items()},
            failures=member.failures(),
            parts=meter.part_rates(),
        )


async def run_plan(plan):
    """Runs a plan within an event loop, which the members' clocks need, and returns the Report."""
    return await Worker(plan).run()


def main():
    """Reads the plan, runs it without log lines, and writes the report."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    plan = msgspec.json.decode(sys.stdin.buffer.read(), type=Plan)
    sys.stdout.buffer.write(msgspec.json.encode(anyio.run(run_plan, plan)))


if __name__ == "__main__":
    main()

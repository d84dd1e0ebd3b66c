"""Asks each process again and again what it says of the cluster and what it uses, and tells the claims."""

import anyio
import h11
import msgspec
from prometheus_client.parser import text_string_to_metric_families as families

from embertray.service.admin.client import send_request
from embertray.simulation.standins.link import STREAM_ERRORS

SECOND_NS = 10**9
POLL_PERIOD_NS = SECOND_NS // 4  # between two looks at a process
ANSWER_TIMEOUT_S = 1.0  # one that stands still gives no answer
DELAY_SLACK_NS = SECOND_NS  # ns that a look may be late: processes and their links share this machine's cores


class ProcessMonitor:
    """Follows processes until it is cancelled.

    Args:
        processes: the LinkedControllerProcesses, started.
        net: by which they are asked.
        clock: of the claims.
        claims: the ClusterClaims; None without a cluster.
    """

    def __init__(self, processes, net, clock, claims):
        self.processes = processes
        self.net = net
        self.clock = clock
        self.claims = claims
        self.usage = {}  # (name, log, where a life begins in it) -> what that life used so far
        self.started_at = clock.now()

    async def run(self):
        """Looks at all, each in a task of its own."""
        async with anyio.create_task_group() as group:
            for name in self.processes.at:
                group.start_soon(self.follow, name)

    async def follow(self, name):
        """Looks at one process again and again."""
        while True:
            now = self.clock.now()
            program = self.processes.running.get(name)
            if program is not None and name not in self.processes.paused:
                await self.poll(now, name, program)
            await self.clock.sleep_until(now + POLL_PERIOD_NS)

    async def get_page(self, name, page):
        """A body, or None: it is down, starting or standing still."""
        with anyio.move_on_after(ANSWER_TIMEOUT_S):
            try:
                code, body = await send_request(self.net, self.processes.admin(name), "GET", page)
                return body if code == 200 else None
            except (*STREAM_ERRORS, ValueError, h11.RemoteProtocolError):
                return None  # it went while it answered

    async def poll(self, now, name, program):
        """Takes what a process uses, and what it says of the cluster."""
        if (used := program.resource_usage()) is not None:
            self.usage[name, program.log, program.log_offset] = used
        if (
            self.claims is None
            or (body := await self.get_page(name, "/cluster")) is None
            or self.processes.running.get(name) is not program
        ):
            return
        said = msgspec.json.decode(body)
        self.claims.check_report(
            now,
            name,
            {m["name"]: m["state"] for m in said["members"]},
            {
                m["name"]: None if m["told_s"] is None else round(m["told_s"] * SECOND_NS)
                for m in said["members"]
            },
            said["cut_off"],
        )

    async def resource_usage(self):
        """What each running process used until now.

        Returns:
            name -> {cpu: s of processor a second, rss: bytes now, sent: bytes a second of its last life for
            the cluster}.
        """
        span = (self.clock.now() - self.started_at) / SECOND_NS
        found = {}
        for name, _program in self.processes.running.items():
            body = await self.get_page(name, "/metrics")
            sent = next(
                (
                    sample.value
                    for family in families((body or b"").decode())
                    for sample in family.samples
                    if sample.name == "embertray_cluster_bytes_sent_total"
                ),
                0.0,
            )
            rows = [row for (who, *_), row in self.usage.items() if who == name]
            found[name] = {
                "cpu": round(sum(cpu for cpu, _ in rows) / span, 4),
                "rss": rows[-1][1] if rows else 0,
                "sent": round(sent / span),
            }
        return found

"""Polls the cluster status and resource usage of each process, and passes them to the claims."""

import anyio
import h11
import msgspec
from prometheus_client.parser import text_string_to_metric_families as families

from embertray.service.admin.client import send_request
from embertray.simulation.standins.link import STREAM_ERRORS

SECOND_NS = 10**9
POLL_PERIOD_NS = SECOND_NS // 4  # between two polls of a process
ANSWER_TIMEOUT_S = 1.0  # a suspended process does not answer
DELAY_SLACK_NS = SECOND_NS  # that a poll may be late: processes and links share this machine's cores


class ProcessMonitor:
    """Polls processes until it is cancelled.

    Args:
        processes: the LinkedControllerProcesses, started.
        net: the net for requests to them.
        clock: the clock of the claims.
        claims: the ClusterClaims; None without a cluster.
    """

    def __init__(self, processes, net, clock, claims):
        self.processes = processes
        self.net = net
        self.clock = clock
        self.claims = claims
        self.usage = {}  # (name, log, offset of the incarnation in it) -> its resource usage
        self.started_at = clock.now()

    async def run(self):
        """Polls all processes, each in a task of its own."""
        async with anyio.create_task_group() as group:
            for name in self.processes.at:
                group.start_soon(self.follow, name)

    async def follow(self, name):
        """Polls one process periodically, except while it is down or suspended."""
        while True:
            now = self.clock.now()
            program = self.processes.running.get(name)
            if program is not None and name not in self.processes.paused:
                await self.poll(now, name, program)
            await self.clock.sleep_until(now + POLL_PERIOD_NS)

    async def get_page(self, name, page):
        """Returns the body of an admin page; None if the process is down, starting or suspended."""
        with anyio.move_on_after(ANSWER_TIMEOUT_S):
            try:
                code, body = await send_request(self.net, self.processes.admin(name), "GET", page)
                return body if code == 200 else None
            except (*STREAM_ERRORS, ValueError, h11.RemoteProtocolError):
                return None  # the process ended while it answered

    async def poll(self, now, name, program):
        """Records a process's resource usage, and has the claims check its cluster status."""
        if (used := program.resource_usage()) is not None:
            self.usage[name, program.log, program.log_offset] = used
        if (
            self.claims is None
            or (body := await self.get_page(name, "/cluster")) is None
            or self.processes.running.get(name) is not program
        ):
            return
        cluster_status = msgspec.json.decode(body)
        self.claims.check_report(
            now,
            name,
            {m["name"]: m["state"] for m in cluster_status["members"]},
            {
                m["name"]: None if m["told_s"] is None else round(m["told_s"] * SECOND_NS)
                for m in cluster_status["members"]
            },
            cluster_status["cut_off"],
        )

    async def resource_usage(self):
        """Returns what each running process has used until now.

        Returns:
            name -> {cpu: CPU seconds per second, rss: resident bytes now, sent: cluster bytes per second that
            its last incarnation has sent}.
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

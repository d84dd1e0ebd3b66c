"""Asks each of a rig's processes again and again what it says of the cluster, and what it uses; hands it to
the claims.
"""

import anyio
import h11
import msgspec
from prometheus_client.parser import text_string_to_metric_families as families

from embertray.service.admin.client import ask
from embertray.simulation.standins.link import STREAM_ERRORS

S = 10**9
EVERY = S // 4  # ns between two looks at a process
WITHIN = 1.0  # s for an answer: one that stands still gives none
SLACK = S  # ns that a look may be late: processes and rig share this machine's cores


class Watch:
    """`held`: a rig's Linked that has started; `claims`: None without a cluster."""

    def __init__(self, held, net, clock, claims):
        self.held, self.net, self.clock, self.claims = held, net, clock, claims
        self.last, self.began = (
            {},
            clock.now(),
        )  # (name, log, where it begins in it) -> what that life used so far

    async def run(self):
        async with anyio.create_task_group() as group:
            for name in self.held.at:
                group.start_soon(self.follow, name)

    async def follow(self, name):
        while True:
            now = self.clock.now()
            program = self.held.running.get(name)
            if program is not None and name not in self.held.still:
                await self.look(now, name, program)
            await self.clock.sleep_until(now + EVERY)

    async def page(self, name, page):
        """A body, or None: it is down, starting or standing still."""
        with anyio.move_on_after(WITHIN):
            try:
                code, body = await ask(self.net, self.held.admin(name), "GET", page)
                return body if code == 200 else None
            except (*STREAM_ERRORS, ValueError, h11.RemoteProtocolError):
                return None  # it went while it answered

    async def look(self, now, name, program):
        if (used := program.used()) is not None:
            self.last[name, program.log, program.from_] = used
        if (
            self.claims is None
            or (body := await self.page(name, "/cluster")) is None
            or self.held.running.get(name) is not program
        ):
            return
        said = msgspec.json.decode(body)
        self.claims.look(
            now,
            name,
            {m["name"]: m["state"] for m in said["members"]},
            {m["name"]: None if m["told_s"] is None else round(m["told_s"] * S) for m in said["members"]},
            said["cut_off"],
        )

    async def used(self):
        """name -> {cpu: s of CPU a second, rss: bytes now, sent: bytes a second of the cluster by its last
        life}.
        """
        span, found = (self.clock.now() - self.began) / S, {}
        for name, _program in self.held.running.items():
            body = await self.page(name, "/metrics")
            sent = next(
                (
                    sample.value
                    for family in families((body or b"").decode())
                    for sample in family.samples
                    if sample.name == "embertray_cluster_bytes_sent_total"
                ),
                0.0,
            )
            rows = [row for (who, *_), row in self.last.items() if who == name]
            found[name] = {
                "cpu": round(sum(cpu for cpu, _ in rows) / span, 4),
                "rss": rows[-1][1] if rows else 0,
                "sent": round(sent / span),
            }
        return found

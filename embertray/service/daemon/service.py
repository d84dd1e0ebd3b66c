"""One controller as a daemon: a task group, nothing detached; clock, net and what is kept are handed in.

Jobs side by side: the pump (core, timers, channel) here, the streams of proxies (`proxies`), the list
(`inventory`), what is kept (`snapshots`), the operators' HTTP. All that is decided comes from the core (the
module, the frontend), from channel/send_buffer.py and endpoint_list/follower.py.
"""

import anyio
import msgspec
import structlog
from anyio.abc import TaskStatus

from embertray.common.memory import Collection
from embertray.common.net.address import BadAddress
from embertray.common.net.process import resident
from embertray.controller.channel.budget import channel_budget
from embertray.controller.channel.timeouts import PROBE_TIMEOUT_NS
from embertray.controller.core import ControllerCore, ControllerFrontend
from embertray.controller.trust import Trust

from .broken import BROKEN, S
from .inventory import ListClient
from .proxies import Proxies
from .snapshots import SnapshotWriter


class Service:
    """`me` is a ControllerAt of `site`; `kept` a DurableSnapshots; `chance` gives numbers from 0 to 1."""

    def __init__(self, site, me, clock, net, kept, seed, chance, log=None, core=ControllerCore, trust=Trust):
        self.site, self.me, self.clock, self.net, self.kept, self.seed = site, me, clock, net, kept, seed
        self.log = (log or structlog.get_logger()).bind(controller=me.name)
        self.chance, self.proxies, self.list, self.snapshots = (
            chance,
            Proxies(self),
            ListClient(self, chance),
            SnapshotWriter(self),
        )
        self.stopping, self.poked = anyio.Event(), anyio.Event()
        self.listen = self.admin = None
        self.make, self.frontend, self.core, self.trust, self.admission = (core, trust), *[None] * 4
        self.counted = dict.fromkeys(
            (
                "joins",
                "leaves",
                "cuts",
                "refused",
                "messages",
                "list_news",
                "list_breaks",
                "saves",
                "save_fails",
            ),
            0,
        )
        self.faults, self.cluster, self.control = {}, None, None

    @property
    def streams(self):
        """Joined proxies' streams by name."""
        return self.proxies.by_name

    # ---- lifecycle

    async def run(self, *, task_status: TaskStatus = anyio.TASK_STATUS_IGNORED):
        """Runs until `stop`; started(listen address, admin address) once both are listened on."""
        from embertray.service.admin.http import serve_admin

        self.kept.open()
        snapshot, passed = self.kept.load()
        for name, why in passed:
            self.log.error("a snapshot can't be used", file=name, why=why)
        now = self.clock.now()
        self.frontend = frontend = ControllerFrontend(
            self.site, self.me, self.seed, now, self.chance, snapshot, self.kept.clock_reading(), *self.make
        )
        self.core, self.trust, self.admission = frontend.core, frontend.trust, frontend.admission
        self.log.info("started", list=self.trust.describe(now))
        self.core.extra_collections = self.collections
        self.began_with = resident()
        listener = await self.net.listen(self.me.listen)
        admin = await self.net.listen(self.me.admin)
        self.listen, self.admin = listener.address, admin.address
        try:
            async with anyio.create_task_group() as group:
                self.group = group
                group.start_soon(self.pump)
                group.start_soon(listener.serve, self.proxies.serve, group)
                group.start_soon(admin.serve, lambda stream: serve_admin(self, stream), group)
                group.start_soon(self.list.run)
                group.start_soon(self.snapshots.run)
                if self.site.cluster:
                    group.start_soon(self.clustered)
                if self.site.control:
                    group.start_soon(self.follow_control)
                for warning in channel_budget(self.site).warnings:
                    self.log.warning("the channel is short", why=warning)
                self.log.info("listening", listen=self.listen, admin=self.admin)
                task_status.started((self.listen, self.admin))
                await self.stopping.wait()
                if self.cluster and not self.cluster.membership.ended:
                    await self.cluster.leave()
                self.log.info("stopping", streams=len(self.streams))
                group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await listener.aclose()
                await admin.aclose()
                self.kept.close()

    def stop(self):
        self.stopping.set()

    async def clustered(self):
        """The cluster's task: it ends the process when a younger one has our name, and nothing else of ours
        when it fails.
        """
        from embertray.cluster.link import ClusterLink

        peers = [at.cluster for at in self.site.controllers if at.name != self.me.name]
        self.cluster = ClusterLink(
            self.site.cluster, self.me, peers, self.clock, self.seed, self.facts, self.log
        )
        try:
            why = await self.cluster.run()
        except OSError as wrong:
            self.log.error("the cluster's address can't be used; this process goes on alone", why=str(wrong))
            return
        except Exception as wrong:  # against a fault of the cluster's: proxies are served without it, too
            self.log.error("the cluster failed; this process goes on alone", exc_info=wrong)
            return
        if not self.stopping.is_set():
            self.log.error("ended", why=why)
            self.stop()

    async def follow_control(self):
        """The control plane's task: it ends nothing else of ours when it fails."""
        from .control import subscriber_client

        self.control = subscriber_client(self.site, self.me, self.clock, self.net, self.seed, self.log)
        try:
            await self.control.run()
        except Exception as wrong:  # against a fault of the control plane: proxies are served without it, too
            self.log.error("following the control plane failed; this process goes on alone", exc_info=wrong)

    def facts(self):
        """What the others are told of us: key -> bytes."""
        return {
            "facts": msgspec.json.encode(
                {
                    "proxies": len(self.streams),
                    "list": self.trust.epoch,
                    "draining": self.admission.draining is not None,
                }
            )
        }

    # ---- core

    def poke(self):
        self.poked.set()

    async def pump(self):
        """Events of one wake-up are one step; never more often than the site's tick."""
        while True:
            self.poked = anyio.Event()
            now = self.clock.now()
            step = self.frontend.advance(now)
            for name, orders in step.outgoing:
                self.proxies.send(now, name, orders)
            for text in step.log_lines:
                self.log.info("decision", says=text)
            if step.subscribe is not None or step.poll_list:
                self.list.asked(step.poll_list)
            self.mind(now, step)
            look = self.proxies.look_after(now)
            times = [t for t in (self.frontend.next_at(), look) if t is not None]
            if times:
                with anyio.move_on_after(max(0, min(times) - self.clock.now()) / 1e9):
                    await self.poked.wait()
            else:
                await self.poked.wait()
            await self.clock.sleep_until(now + self.site.tick)

    def mind(self, now, step):
        """What memory asks for, and probes."""
        if (change := step.level_change) is not None:
            self.log.warning("level of service", old=change.old, new=change.new, why=change.reason)
        for notice in step.notices:
            self.log.warning(
                f"memory {notice.text}",
                purpose=notice.purpose,
                bytes=notice.size,
                cap=notice.cap,
                action=notice.action,
            )
        for name, why in step.cuts:
            if name in self.streams:
                self.proxies.end(now, self.streams[name], why)
        if self.cluster and (account := self.core.accounts.by_purpose.get("cluster")):
            account.action_count = self.cluster.close(account.at_cap)
        if step.refetch_list:
            self.list.asked(True)
        for backend in step.probes:
            self.group.start_soon(self.probe, backend)

    def collections(self):
        """What the streams hold, for the accounts."""
        streams = list(self.streams.values())
        return {
            **({"cluster": self.cluster.collections()} if self.cluster else {}),
            "streams": [
                Collection(
                    "streams",
                    len(streams),
                    lambda: streams,
                    [self.streams],
                    (anyio.Event, anyio.CancelScope),
                    ("stream", "on_taken", "read", "scope"),
                ),
                Collection(
                    "untaken",
                    sum(len(s.conn.queue) for s in streams),
                    lambda: (d for s in streams for d in s.conn.queue),
                ),
                Collection(
                    "cuts", len(self.admission.cuts), self.admission.cuts.items, [self.admission.cuts]
                ),
            ],
            "list": [
                Collection(
                    "entries",
                    len(self.list.follower.entries),
                    self.list.follower.entries.items,
                    [self.list.follower.entries],
                ),
                Collection(
                    "known", len(self.trust.backends), self.trust.backends.items, [self.trust.backends]
                ),
                Collection(
                    "gone",
                    len(self.trust.tombstones.entries),
                    self.trust.tombstones.entries.items,
                    [self.trust.tombstones.entries],
                ),
            ],
        }

    def memory(self):
        """The accounts, and the process as the system sees it; bytes."""
        now = resident()
        purposes = self.core.accounts.rows()
        held = sum(row["bytes"] for row in purposes)
        return {
            "purposes": purposes,
            "resident": now,
            "at_start": self.began_with,
            "unaccounted": now - self.began_with - held,
            "held_back": self.core.deferred_entries,
        }

    async def probe(self, backend):
        """A shallow probe: whether the backend takes a connection, and how soon."""
        answered = False
        with anyio.move_on_after(PROBE_TIMEOUT_NS / S):
            try:
                async with await self.net.dial(backend):
                    answered = True
            except (*BROKEN, BadAddress):
                pass
        self.core.probe_finished(self.clock.now(), backend, answered)
        self.poke()

    def drain(self):
        self.admission.drain(self.clock.now())
        self.poke()

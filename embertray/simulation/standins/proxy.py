"""A plain proxy on sockets: its stream to a controller, its clients and its backends. What it does with a
request is told by model/proxy.py; it keeps what it holds when its stream breaks and dials the next
controller.
"""

import anyio

from embertray.common.net.queued_connection import QueuedConnection
from embertray.controller.stream.exceptions import ProtocolError
from embertray.controller.stream.messages import Acknowledgement, Orders
from embertray.controller.stream.session import ProxySession
from embertray.simulation.models.proxy import PausableProcess, Proxy

from .link import STREAM_ERRORS, Link
from .messages import Request, RequestEnd, encode, read

S = 10**9
REDIAL_DELAYS_NS = (S // 5, 2 * S)  # ns; delay before the next dial, first and longest
CONNECT_TIMEOUT_NS = S // 4  # ns a connection may take


class BackendConnection:
    """One backend as this proxy has it: a connection, and what waits for it."""

    def __init__(self):
        self.link, self.dialling, self.waiting = None, False, []


class StandinProxy(PausableProcess):
    """`eyes` sees what crosses its sockets: joined, left, orders, sent (days/observer.py). `way()` gives ns
    that an order takes from the socket to its effect."""

    def __init__(
        self,
        name,
        zone,
        site,
        controllers,
        net,
        scheduler,
        rng,
        rate=0.0,
        standing=(),
        eyes=None,
        way=lambda: 0,
    ):
        self.name, self.zone, self.site, self.net, self.scheduler, self.rng = (
            name,
            zone,
            site,
            net,
            scheduler,
            rng,
        )
        self.controllers, self.rate, self.eyes, self.way = list(controllers), rate, eyes, way
        self.initial_backends = list(standing)
        self.model, self.fresh, self.joined = Proxy(site, rng, standing), True, None
        self.targets, self.reqs = {}, {}
        self.group, self.scope, self.conn = None, None, None
        self.cut_off = self.paused = self.deaf = False
        self.deferred_calls, self.report_delay, self.last_due, self.home = [], 0, 0, 0
        self.unreachable_backends = set()  # backends that it can't reach

    # ---- its stream to a controller

    async def run(self, address="127.0.0.1:0", *, task_status=anyio.TASK_STATUS_IGNORED):
        listener = await self.net.listen(address)
        try:
            async with anyio.create_task_group() as group:
                self.group = group
                group.start_soon(self.follow)
                group.start_soon(self.report)
                task_status.started(listener.address)
                await listener.serve(self.client, group)
        finally:
            with anyio.CancelScope(shield=True):
                await listener.aclose()

    async def follow(self):
        """Dials the controllers in turn, from its own on; waits longer when none answers."""
        at, wait, tries = self.home, REDIAL_DELAYS_NS[0], 0
        while True:
            asked = 0
            if not self.cut_off:
                try:
                    asked = await self.stay(self.controllers[at % len(self.controllers)])
                    wait, tries = REDIAL_DELAYS_NS[0], 0
                except* (*STREAM_ERRORS, ProtocolError):
                    pass
            at += 1
            tries += 1
            pause = max(asked, wait * (0.5 + self.rng.random()))
            if tries % len(self.controllers) == 0:
                wait = min(REDIAL_DELAYS_NS[1], wait * 2)
            await anyio.sleep(pause / 1e9)

    async def stay(self, address):
        """One stream, to its end; ns that the controller asks it to stay away."""
        end, asked = ProxySession(self.name, self.zone, self.rate, self.fresh), 0
        stream = await self.net.dial(address)
        self.scope = anyio.CancelScope()
        with self.scope:
            async with stream, anyio.create_task_group() as group:
                self.conn = QueuedConnection(stream)
                self.conn.put(end.start())
                group.start_soon(self.write, self.conn, self.scope)
                try:
                    while not end.ended:
                        while self.deaf:  # it does not read: its sockets fill up
                            await anyio.sleep(0.05)
                        for message in end.receive(await self.conn.read()):
                            if isinstance(message, Orders):
                                self.on_orders(end, message)
                            elif end.ended:
                                asked = message.wait
                            else:
                                self.on_joined(end, address, message)
                finally:
                    if self.joined is end:
                        self.joined, self.conn = None, None
                        self.model.disconnected()
                        if self.eyes:
                            self.eyes.left(self.scheduler.now(), self.name)
                group.cancel_scope.cancel()
        return asked

    def on_joined(self, end, address, welcome):
        self.joined, self.fresh = end, False
        self.model.joined(self.scheduler.now())
        if self.eyes:
            self.eyes.joined(self.scheduler.now(), self.name, welcome.controller)

    def on_orders(self, end, orders):
        now = self.scheduler.now()
        if self.eyes:
            self.eyes.orders(now, self.name, orders)
        self.last_due = max(self.last_due + 1, now + self.way())
        self.scheduler.at(self.last_due, self.apply, end, orders)

    def apply(self, end, orders):
        if end is not self.joined:  # the stream broke while it was under way
            return
        if self.paused:
            self.deferred_calls.append((self.apply, end, orders))
            return
        self.model.apply(orders)
        if self.eyes:
            self.eyes.applied(self.scheduler.now(), self.name, orders)
        if orders.nonce is not None:
            self.say(end, Acknowledgement(orders.nonce))

    def say(self, end, message):
        if end is self.joined:
            self.conn.put(end.pack(message))

    @staticmethod
    async def write(conn, scope):
        try:
            await conn.write()
        except STREAM_ERRORS:
            scope.cancel()

    def break_stream(self):
        if self.scope:
            self.scope.cancel()

    async def report(self):
        """Sums each cycle to whom it is joined to; `lag` ns late."""
        while True:
            await anyio.sleep(self.site.report_interval / 1e9)
            end, sums = self.joined, self.model.take_load_report(self.scheduler.now())
            if end and not self.paused:
                self.scheduler.after(self.report_delay, self.say, end, sums)

    # ---- requests

    async def client(self, stream):
        link = Link(stream, encode, read, lambda m: self.on_req(link, m))
        await link.run()

    def on_req(self, link, req):
        if self.paused:
            self.deferred_calls.append((self.on_req, link, req))
            return
        under = self.model.arrive(self.scheduler.now(), req, link)
        if under is None:
            link.put(RequestEnd(req.ident, req.attempt, "denied", wait=self.model.retry_after(req.kind)))
        else:
            self.attempt(under)

    def target(self, name):
        found = self.targets.get(name)
        if found is None:
            found = self.targets[name] = BackendConnection()
        return found

    def attempt(self, under):
        how = self.model.attempt(self.scheduler.now(), under)
        if how:
            self.finish(under, how)
            return
        name = under.backend
        target = self.target(name)
        under.timer = self.scheduler.after(under.timeout, self.ended, under, under.attempt, "timeout", {})
        if target.link is None or target.link.over:
            target.waiting.append((under, under.attempt))
            if not target.dialling:
                target.dialling = True
                self.group.start_soon(self.connect, name, target)
        else:
            self.send_req(target, under)

    async def connect(self, name, target):
        link = None
        try:
            with anyio.move_on_after(CONNECT_TIMEOUT_NS / 1e9):
                if name in self.unreachable_backends:
                    raise ConnectionRefusedError
                stream = await self.net.dial(name)
                link = target.link = Link(
                    stream, encode, read, self.on_end, lambda: self.on_broken(name, target, link)
                )
        except STREAM_ERRORS:
            pass
        target.dialling = False
        waiting, target.waiting = target.waiting, []
        for under, attempt in waiting:
            if under.attempt != attempt or under.backend is None:
                continue
            if link is None:
                self.ended(under, attempt, "refused", {})
            else:
                self.send_req(target, under)
        if link is not None:
            await link.run()

    def send_req(self, target, under):
        self.reqs[under.attempt] = under
        req = under.request
        within = max(1, under.deadline - self.scheduler.now())
        sent = Request(under.attempt, req.kind, req.work, within, len(under.tried), self.name)
        target.link.put(sent)
        if self.eyes:
            self.eyes.sent(self.scheduler.now(), self.name, under.backend, sent, (req.ident, req.attempt))

    def on_broken(self, name, target, link):
        """The connection is gone: what was out on it may have run."""
        if target.link is link:
            target.link = None
            for attempt, under in list(self.reqs.items()):
                if under.backend == name:
                    self.ended(under, attempt, "broken", {})

    def on_end(self, end):
        under = self.reqs.get(end.ident)
        if under:
            self.ended(under, end.ident, end.how, end.load)

    def ended(self, under, attempt, how, load):
        now, name = self.scheduler.now(), under.backend
        verdict = self.model.attempt_ended(now, under, attempt, how, load)
        if verdict is None:
            return
        self.reqs.pop(attempt, None)
        under.timer.cancel()
        if how != "done" and self.eyes:
            self.eyes.failed(now, self.name, name, (under.request.ident, under.request.attempt), how)
        if verdict == "again":
            self.attempt(under)
        else:
            self.finish(under, verdict)

    def finish(self, under, how):
        under.reply_to.put(RequestEnd(under.request.ident, under.request.attempt, how))

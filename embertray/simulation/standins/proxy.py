"""A plain proxy on sockets: its stream to a controller, and connections from clients and to backends.

models/proxy.py decides what happens to requests. When its stream breaks, the proxy keeps its table and dials
the next controller.
"""

import anyio

from embertray.common.net.queued_connection import QueuedConnection
from embertray.controller.stream.exceptions import ProtocolError
from embertray.controller.stream.messages import Acknowledgement, Orders
from embertray.controller.stream.session import ProxySession
from embertray.simulation.models.proxy import PausableProcess, Proxy

from .link import STREAM_ERRORS, Link
from .messages import Request, RequestEnd, decode, encode

NS_PER_SECOND = 10**9
REDIAL_DELAYS_NS = (NS_PER_SECOND // 5, 2 * NS_PER_SECOND)  # first and longest delay before a dial
CONNECT_TIMEOUT_NS = NS_PER_SECOND // 4


class BackendConnection:
    """The connection to one backend, and the requests that wait for it."""

    def __init__(self):
        self.link, self.is_dialing, self.waiting = None, False, []


class StandinProxy(PausableProcess):
    """A proxy with sockets.

    Args:
        name: its name.
        zone: its zone.
        site: the site description.
        controllers: addresses of the controllers.
        net: the net to listen and dial on.
        scheduler: a Scheduler.
        rng: the random generator.
        rate: requests per second that it announces to the controller.
        initial_backends: the backends of its standing table.
        observer: the Observer of joins, orders and requests (scenarios/observer.py); None: there is none.
        order_delay: returns the ns between the receipt and the effect of an order.

    Attributes:
        joined: the ProxySession while a controller has welcomed it, else None.
        cut_off: whether it dials no controller.
        deaf: whether it stops reading from its controller.
        report_delay: delay of its load reports, ns.
        home: index of the controller that it dials first.
        unreachable_backends: backends to which its connections are refused.
    """

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
        initial_backends=(),
        observer=None,
        order_delay=lambda: 0,
    ):
        self.name, self.zone, self.site, self.net, self.scheduler, self.rng = (
            name,
            zone,
            site,
            net,
            scheduler,
            rng,
        )
        self.controllers, self.rate, self.observer, self.order_delay = (
            list(controllers),
            rate,
            observer,
            order_delay,
        )
        self.initial_backends = list(initial_backends)
        self.model, self.fresh, self.joined = Proxy(site, rng, initial_backends), True, None
        self.connections, self.pending_attempts = {}, {}
        self.group, self.scope, self.conn = None, None, None
        self.cut_off = self.paused = self.deaf = False
        self.deferred_calls, self.report_delay, self.last_due, self.home = [], 0, 0, 0
        self.unreachable_backends = set()

    # ---- the stream to a controller

    async def run(self, address="127.0.0.1:0", *, task_status=anyio.TASK_STATUS_IGNORED):
        """Runs the proxy until cancelled; reports its address for clients as started."""
        listener = await self.net.listen(address)
        try:
            async with anyio.create_task_group() as group:
                self.group = group
                group.start_soon(self.keep_connected)
                group.start_soon(self.report)
                task_status.started(listener.address)
                await listener.serve(self.serve_client, group)
        finally:
            with anyio.CancelScope(shield=True):
                await listener.aclose()

    async def keep_connected(self):
        """Dials the controllers in turn, from `home` on; backs off after each round without an answer."""
        index, redial_delay, attempts = self.home, REDIAL_DELAYS_NS[0], 0
        while True:
            retry_after = 0
            if not self.cut_off:
                try:
                    retry_after = await self.run_stream(self.controllers[index % len(self.controllers)])
                    redial_delay, attempts = REDIAL_DELAYS_NS[0], 0
                except* (*STREAM_ERRORS, ProtocolError):
                    pass
            index += 1
            attempts += 1
            pause = max(retry_after, redial_delay * (0.5 + self.rng.random()))
            if attempts % len(self.controllers) == 0:
                redial_delay = min(REDIAL_DELAYS_NS[1], redial_delay * 2)
            await anyio.sleep(pause / 1e9)

    async def run_stream(self, address):
        """Runs one stream to its end; returns the ns that the controller asks it to wait before a dial."""
        session, retry_after = ProxySession(self.name, self.zone, self.rate, self.fresh), 0
        stream = await self.net.dial(address)
        self.scope = anyio.CancelScope()
        with self.scope:
            async with stream, anyio.create_task_group() as group:
                self.conn = QueuedConnection(stream)
                self.conn.put(session.start())
                group.start_soon(self.write, self.conn, self.scope)
                try:
                    while not session.ended:
                        while self.deaf:  # unread data fills the socket buffers
                            await anyio.sleep(0.05)
                        for message in session.receive(await self.conn.read()):
                            if isinstance(message, Orders):
                                self.on_orders(session, message)
                            elif session.ended:
                                retry_after = message.wait
                            else:
                                self.on_joined(session, address, message)
                finally:
                    if self.joined is session:
                        self.joined, self.conn = None, None
                        self.model.disconnected()
                        if self.observer:
                            self.observer.left(self.scheduler.now(), self.name)
                group.cancel_scope.cancel()
        return retry_after

    def on_joined(self, session, address, welcome):
        """Notes that a controller has welcomed the proxy."""
        self.joined, self.fresh = session, False
        self.model.joined(self.scheduler.now())
        if self.observer:
            self.observer.joined(self.scheduler.now(), self.name, welcome.controller)

    def on_orders(self, session, orders):
        """Schedules orders to take effect after the order delay, in their order."""
        now = self.scheduler.now()
        if self.observer:
            self.observer.orders(now, self.name, orders)
        self.last_due = max(self.last_due + 1, now + self.order_delay())
        self.scheduler.at(self.last_due, self.apply, session, orders)

    def apply(self, session, orders):
        """Applies orders and acknowledges their nonce; defers them while paused."""
        if session is not self.joined:  # the stream broke before the orders took effect
            return
        if self.paused:
            self.deferred_calls.append((self.apply, session, orders))
            return
        self.model.apply(orders)
        if self.observer:
            self.observer.applied(self.scheduler.now(), self.name, orders)
        if orders.nonce is not None:
            self.send(session, Acknowledgement(orders.nonce))

    def send(self, session, message):
        """Sends a message, unless its session has ended."""
        if session is self.joined:
            self.conn.put(session.pack(message))

    @staticmethod
    async def write(conn, scope):
        """Writes queued messages; cancels the stream's scope when the stream ends."""
        try:
            await conn.write()
        except STREAM_ERRORS:
            scope.cancel()

    def break_stream(self):
        """Breaks the stream to the controller."""
        if self.scope:
            self.scope.cancel()

    async def report(self):
        """Sends a load report each report interval, `report_delay` ns late."""
        while True:
            await anyio.sleep(self.site.report_interval / 1e9)
            session, load_report = self.joined, self.model.take_load_report(self.scheduler.now())
            if session and not self.paused:
                self.scheduler.after(self.report_delay, self.send, session, load_report)

    # ---- requests

    async def serve_client(self, stream):
        """Serves one connection of clients."""
        link = Link(stream, encode, decode, lambda m: self.on_request(link, m))
        await link.run()

    def on_request(self, link, request):
        """Admits or denies a client's request; defers it while paused."""
        if self.paused:
            self.deferred_calls.append((self.on_request, link, request))
            return
        underway = self.model.arrive(self.scheduler.now(), request, link)
        if underway is None:
            link.put(
                RequestEnd(
                    request.ident, request.attempt, "denied", wait=self.model.retry_after(request.kind)
                )
            )
        else:
            self.attempt(underway)

    def connection_to(self, name):
        """Returns the BackendConnection of a backend."""
        found = self.connections.get(name)
        if found is None:
            found = self.connections[name] = BackendConnection()
        return found

    def attempt(self, underway):
        """Starts the next attempt of a request, or finishes it."""
        how = self.model.attempt(self.scheduler.now(), underway)
        if how:
            self.finish(underway, how)
            return
        name = underway.backend
        connection = self.connection_to(name)
        underway.timer = self.scheduler.after(
            underway.timeout, self.ended, underway, underway.attempt, "timeout", {}
        )
        if connection.link is None or connection.link.over:
            connection.waiting.append((underway, underway.attempt))
            if not connection.is_dialing:
                connection.is_dialing = True
                self.group.start_soon(self.connect, name, connection)
        else:
            self.send_request(connection, underway)

    async def connect(self, name, connection):
        """Opens the connection to a backend, sends what waits for it, and runs it to its end."""
        link = None
        try:
            with anyio.move_on_after(CONNECT_TIMEOUT_NS / 1e9):
                if name in self.unreachable_backends:
                    raise ConnectionRefusedError
                stream = await self.net.dial(name)
                link = connection.link = Link(
                    stream, encode, decode, self.on_end, lambda: self.on_broken(name, connection, link)
                )
        except STREAM_ERRORS:
            pass
        connection.is_dialing = False
        waiting, connection.waiting = connection.waiting, []
        for underway, attempt in waiting:
            if underway.attempt != attempt or underway.backend is None:
                continue
            if link is None:
                self.ended(underway, attempt, "refused", {})
            else:
                self.send_request(connection, underway)
        if link is not None:
            await link.run()

    def send_request(self, connection, underway):
        """Sends an attempt on an open connection."""
        self.pending_attempts[underway.attempt] = underway
        request = underway.request
        within = max(1, underway.deadline - self.scheduler.now())
        sent = Request(underway.attempt, request.kind, request.work, within, len(underway.tried), self.name)
        connection.link.put(sent)
        if self.observer:
            self.observer.sent(
                self.scheduler.now(), self.name, underway.backend, sent, (request.ident, request.attempt)
            )

    def on_broken(self, name, connection, link):
        """Ends the attempts on a broken connection; the backend may have run them."""
        if connection.link is link:
            connection.link = None
            for attempt, underway in list(self.pending_attempts.items()):
                if underway.backend == name:
                    self.ended(underway, attempt, "broken", {})

    def on_end(self, end):
        """Ends an attempt that a backend has answered."""
        underway = self.pending_attempts.get(end.ident)
        if underway:
            self.ended(underway, end.ident, end.how, end.load)

    def ended(self, underway, attempt, how, load):
        """Ends an attempt; the model decides between another attempt and the end of the request."""
        now, name = self.scheduler.now(), underway.backend
        verdict = self.model.attempt_ended(now, underway, attempt, how, load)
        if verdict is None:
            return
        self.pending_attempts.pop(attempt, None)
        underway.timer.cancel()
        if how != "done" and self.observer:
            self.observer.failed(
                now, self.name, name, (underway.request.ident, underway.request.attempt), how
            )
        if verdict == "again":
            self.attempt(underway)
        else:
            self.finish(underway, verdict)

    def finish(self, underway, how):
        """Answers the client."""
        underway.reply_to.put(RequestEnd(underway.request.ident, underway.request.attempt, how))

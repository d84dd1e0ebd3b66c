"""A backend that serves the requests of proxies on a socket, by the model of models/backend.py."""

import anyio

from .link import Link
from .messages import Request, RequestEnd, decode, encode


class StandinBackend:
    """A backend with a listening socket.

    Args:
        model: the models.backend.Backend; its name becomes the address once it listens.
        net: the net to listen on.
        scheduler: a Scheduler.
        random: returns random numbers from 0 to 1.
        on_received: called with (ns, name, Request) for each request; None: not called.

    Attributes:
        failing_proxies: names of proxies whose requests fail here.
    """

    def __init__(self, model, net, scheduler, random, on_received=None):
        self.model, self.net, self.scheduler, self.random, self.on_received = (
            model,
            net,
            scheduler,
            random,
            on_received,
        )
        self.links, self.reqs, self.timer, self.listener, self.failing_proxies = {}, {}, None, None, set()
        self.scope = None

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Listens until cancelled; the address is kept while the backend is dead."""
        self.listener = await self.net.listen(self.model.name)
        self.model.name = self.listener.address
        try:
            async with anyio.create_task_group() as group:
                task_status.started(self.model.name)
                await self.listener.serve(self.accept, group)
        finally:
            with anyio.CancelScope(shield=True):
                await self.listener.aclose()

    async def accept(self, stream):
        """Serves one connection; a dead or overloaded backend closes it at once."""
        now = self.scheduler.now()
        if self.model.state == "dead" or self.model.state == "up" and not self.model.connect(now):
            await stream.aclose()
            return
        link = Link(
            stream, encode, decode, lambda m: self.on_request(link, m), lambda: self.on_link_end(link)
        )
        self.links[link] = None
        self.schedule_advance()
        await link.run()

    def on_link_end(self, link):
        """Tells the model that a connection has ended, unless it was closed here."""
        if self.links.pop(link, self) is not self:
            self.model.disconnect()

    def on_request(self, link, request):
        """Offers a request to the model, and answers at once if it is not accepted."""
        if not isinstance(request, Request):
            return
        now = self.scheduler.now()
        if self.on_received:
            self.on_received(now, self.model.name, request)
        if self.model.state != "up":
            return
        if request.sender in self.failing_proxies:
            link.put(RequestEnd(request.ident, request.attempt, "error"))
            return
        how = self.model.offer(
            now, (link, request), request.kind, request.work, now + request.within, self.random()
        )
        if how:
            link.put(RequestEnd(request.ident, request.attempt, how, self.model.report(now)))
        self.schedule_advance()

    def schedule_advance(self):
        """Sets the timer to when the model finishes its next request."""
        when = self.model.next_at()
        if self.timer:
            self.timer.cancel()
        self.timer = self.scheduler.at(when, self.advance) if when is not None else None

    def advance(self):
        """Answers the requests that are finished by now."""
        now = self.scheduler.now()
        for link, request in self.model.advance(now):
            link.put(RequestEnd(request.ident, request.attempt, "done", self.model.report(now)))
        self.timer = None
        self.schedule_advance()

    def die(self, silent=False):
        """Ends the backend's process; `silent`: connections stay open and silent."""
        self.model.die(silent)
        if not silent:
            for link in list(self.links):
                link.cut()

    def start(self, cold=True):
        """Starts the backend's process; `cold`: it has to warm up."""
        for link in list(self.links):  # connections of the former process that are still open
            link.cut()
        self.model.start(self.scheduler.now(), cold)

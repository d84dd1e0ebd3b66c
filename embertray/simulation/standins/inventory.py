"""An inventory that serves the endpoint list on a socket, with delayed answers and outages."""

import anyio

from embertray.controller.endpoint_list.messages import RequestFailed, WatchRequest, decode_request, encode
from embertray.simulation.models.inventory import Inventory

from .link import Link


class StandinInventory(Inventory):
    """The inventory's server; while it is down, requests fail and no changes are sent.

    Args:
        net: the net to listen on.
        scheduler: a Scheduler.
        answer_delay: ns until a request is answered.
        on_event: called with (ns, controller's name, WatchEvent) for each event that is sent, or None.
    """

    def __init__(self, net, scheduler, answer_delay=0, on_event=None):
        super().__init__()
        self.net, self.scheduler, self.answer_delay, self.on_event = net, scheduler, answer_delay, on_event
        self.watching, self.watcher_names, self.address = {}, {}, None

    async def run(self, address, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Listens until cancelled; reports its address as started."""
        listener = await self.net.listen(address)
        self.address = listener.address
        try:
            async with anyio.create_task_group() as group:
                task_status.started(self.address)
                await listener.serve(self.accept, group)
        finally:
            with anyio.CancelScope(shield=True):
                await listener.aclose()

    async def accept(self, stream):
        """Serves one connection; closes it at once while down."""
        if self.down:
            await stream.aclose()
            return
        link = Link(
            stream, encode, decode_request, lambda m: self.on_request(link, m), lambda: self.on_link_end(link)
        )
        self.watching[link] = False
        await link.run()

    def on_link_end(self, link):
        """Forgets a connection that has ended."""
        self.watching.pop(link, None)
        self.watcher_names.pop(link, None)

    def list(self, name, zone, state="ready", started=0):
        """Changes a backend's state now, and sends it to all watches."""
        entry = self.change(name, zone, state, started)
        if not self.down:
            for link, watches in list(self.watching.items()):
                if watches:
                    self.send(link, self.watch_event(self.scheduler.now(), self.epoch - 1, [entry]))

    def on_request(self, link, request):
        """Answers a request after the answer delay."""
        if isinstance(request, WatchRequest):
            self.watcher_names[link] = request.sender
        self.scheduler.after(self.answer_delay, self.answer_request, link, request)

    def answer_request(self, link, request):
        """Answers a request; a WatchRequest turns the watch on or off."""
        if link.over:
            return
        if self.down:
            link.put(RequestFailed("down"))
            return
        if isinstance(request, WatchRequest):
            self.watching[link] = request.enabled
        if (news := self.answer(self.scheduler.now(), request)) is not None:
            self.send(link, news)

    def send(self, link, news):
        """Sends an event, and reports it to `on_event`."""
        link.put(news)
        if self.on_event:
            self.on_event(self.scheduler.now(), self.watcher_names.get(link, ""), news)

    def go_down(self):
        """Starts an outage: cuts all connections."""
        self.down = True
        for link in list(self.watching):
            link.cut()

    def come_back(self):
        """Ends an outage."""
        self.down = False

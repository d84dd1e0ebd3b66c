"""An inventory of backends: tells changes late, pushes or answers, and is down sometimes."""
import anyio

from ..inventory.messages import Failed, Get, Listed, News, Watch, encode, read_ask
from .parts import Link


class StandinInventory:
    """`told(now, sender, news)` for each News that goes to a controller's socket. Calls are answered after `answers` ns;
    while `down` they fail and no change is told."""

    def __init__(self, net, agenda, answers=0, told=None):
        self.net, self.agenda, self.answers, self.told = net, agenda, answers, told
        self.entries, self.epoch, self.log, self.links, self.names = {}, 0, {}, {}, {}
        self.down, self.address = False, None

    async def run(self, address, *, task_status=anyio.TASK_STATUS_IGNORED):
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
        if self.down:
            await stream.aclose()
            return
        link = Link(stream, encode, read_ask, lambda m: self.on_call(link, m), lambda: self.forget(link))
        self.links[link] = False
        await link.run()

    def forget(self, link):
        self.links.pop(link, None)
        self.names.pop(link, None)

    def list(self, name, zone, state="ready", started=0):
        """The truth changes now; whoever calls this has waited for the notice. gone: no longer listed."""
        self.epoch += 1
        entry = Listed(name, zone, state, started)
        self.log[self.epoch] = entry
        if state == "gone":
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry
        if not self.down:
            for link, watches in list(self.links.items()):
                if watches:
                    self.tell(link, self.epoch - 1, [entry])

    def on_call(self, link, call):
        if isinstance(call, Watch):
            self.names[link] = call.sender
        self.agenda.after(self.answers, self.answer, link, call)

    def answer(self, link, call):
        if link.over:
            return
        if self.down:
            link.put(Failed("down"))
            return
        if isinstance(call, Get):
            self.tell(link, 0, list(self.entries.values()))
            return
        self.links[link] = call.on
        if call.on and call.since and call.since in self.log and call.since <= self.epoch:
            latest = {self.log[n].backend: self.log[n] for n in range(call.since + 1, self.epoch + 1)}
            self.tell(link, call.since, list(latest.values()))
        elif isinstance(call, Watch) and call.on:
            self.tell(link, 0, list(self.entries.values()))

    def tell(self, link, since, entries):
        news = News(self.epoch, since, self.agenda.now(), entries)
        link.put(news)
        if self.told:
            self.told(self.agenda.now(), self.names.get(link, ""), news)

    def go_down(self):
        self.down = True
        for link in list(self.links):
            link.cut()

    def come_back(self):
        self.down = False

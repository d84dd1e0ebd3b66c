"""What every kind of fault has: the stage, its line of the day, times and who is struck."""

from embertray.service.site.site import time as span

S = 10**9


def share(text):
    return float(text.rstrip("%")) / 100


class Struck:
    """`do_...` methods of the kinds strike, wait and make it good again; `run` calls the one that the line
    names.
    """

    def __init__(self, stage, spec):
        self.stage, self.spec = stage, spec
        self.fleet = stage.day.fleet

    async def run(self):
        await self.at(self.stage.zero + self.spec.at)
        await getattr(self, "do_" + self.spec.name.replace("-", "_"))()

    async def at(self, when):
        await self.stage.clock.sleep_until(when)

    async def wait(self, time):
        await self.at(self.stage.clock.now() + time)

    def backends(self):
        return self.stage.strike(self.spec.targets, self.stage.backends)

    def proxies(self):
        return self.stage.strike(self.spec.targets, self.stage.proxies)

    def controllers(self):
        return [t for t in self.spec.targets if isinstance(t, str) and t[0] == "c"]

    def note(self, what, who, *rest):
        self.stage.eyes.note(self.stage.clock.now(), what, who, *rest)

    def later(self, time, what, *args):
        self.stage.agenda.after(time, what, *args)

    def list(self, backend, state, late):
        """The inventory learns of it so much later."""
        started = backend.model.started
        self.later(
            late, lambda: self.stage.inventory.list(backend.model.name, backend.model.zone, state, started)
        )

    def come_back(self, backend):
        backend.start(cold=True)
        backend.model.ills.__init__()
        self.note("started", backend.model.name)
        self.list(backend, "ready", span(self.fleet["notice"]))

"""What every kind of fault has: the stage, its line of the day, times and who is struck."""

from embertray.service.site.values import parse_duration

SECOND_NS = 10**9


def parse_share(text):
    """A share as a float: 0.3 of '30%'."""
    return float(text.rstrip("%")) / 100


class FaultBase:
    """One fault of a day: its `do_...` methods strike, wait and make it good again.

    Args:
        stage: a stage.Stage, or the emulator's simulation of a day.
        spec: the notation.FaultSpec.
    """

    def __init__(self, stage, spec):
        self.stage = stage
        self.spec = spec
        self.fleet = stage.day.fleet

    async def run(self):
        """Waits until the fault's time and calls the method that its word names."""
        await self.wait_until(self.stage.load_start + self.spec.at)
        await getattr(self, "do_" + self.spec.name.replace("-", "_"))()

    async def wait_until(self, when):
        """Waits until `when`, ns."""
        await self.stage.clock.sleep_until(when)

    async def wait(self, duration):
        """Waits for `time` ns."""
        await self.wait_until(self.stage.clock.now() + duration)

    def backends(self):
        """The backends that are struck."""
        return self.stage.select_targets(self.spec.targets, self.stage.backends)

    def proxies(self):
        """The proxies that are struck."""
        return self.stage.select_targets(self.spec.targets, self.stage.proxies)

    def controllers(self):
        """The names of the controllers that are struck."""
        return [t for t in self.spec.targets if isinstance(t, str) and t[0] == "c"]

    def note(self, what, who, *rest):
        """Notes an event of the fault with the observer."""
        self.stage.observer.note(self.stage.clock.now(), what, who, *rest)

    def call_later(self, delay, callback, *args):
        """Calls `what` with its arguments `time` ns from now."""
        self.stage.scheduler.after(delay, callback, *args)

    def report_state(self, backend, state, delay):
        """The inventory learns of a backend's state `late` ns from now."""
        started = backend.model.started
        self.call_later(
            delay, lambda: self.stage.inventory.list(backend.model.name, backend.model.zone, state, started)
        )

    def restart_backend(self, backend):
        """Starts a backend that died, cold and well; the list learns of it after `notice`."""
        backend.start(cold=True)
        backend.model.faults.__init__()
        self.note("started", backend.model.name)
        self.report_state(backend, "ready", parse_duration(self.fleet["notice"]))

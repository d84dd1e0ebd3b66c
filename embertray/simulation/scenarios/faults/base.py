"""Base class of all faults: their stage, specification, targets and timing."""

from embertray.service.site.values import parse_duration

SECOND_NS = 10**9


def parse_share(text):
    """Returns a percentage as a share: 0.3 for '30%'."""
    return float(text.rstrip("%")) / 100


class FaultBase:
    """One fault of a day; its `do_...` methods cause the fault, wait, and end it.

    Args:
        stage: a Stage, or the emulator's simulation of a day.
        spec: the FaultSpec.
    """

    def __init__(self, stage, spec):
        self.stage = stage
        self.spec = spec
        self.fleet = stage.day.fleet

    async def run(self):
        """Waits until the fault's time and calls the method for its word."""
        await self.wait_until(self.stage.load_start + self.spec.at)
        await getattr(self, "do_" + self.spec.name.replace("-", "_"))()

    async def wait_until(self, when):
        """Waits until `when`, ns."""
        await self.stage.clock.sleep_until(when)

    async def wait(self, duration):
        """Waits for `duration` ns."""
        await self.wait_until(self.stage.clock.now() + duration)

    def backends(self):
        """Returns the targeted backends."""
        return self.stage.select_targets(self.spec.targets, self.stage.backends)

    def proxies(self):
        """Returns the targeted proxies."""
        return self.stage.select_targets(self.spec.targets, self.stage.proxies)

    def controllers(self):
        """Returns the names of the targeted controllers."""
        return [t for t in self.spec.targets if isinstance(t, str) and t[0] == "c"]

    def note(self, what, who, *rest):
        """Records an event of the fault with the observer."""
        self.stage.observer.note(self.stage.clock.now(), what, who, *rest)

    def call_later(self, delay, callback, *args):
        """Calls `callback` with its arguments `delay` ns from now."""
        self.stage.scheduler.after(delay, callback, *args)

    def report_state(self, backend, state, delay):
        """Reports a backend's state to the inventory `delay` ns from now."""
        started = backend.model.started
        self.call_later(
            delay, lambda: self.stage.inventory.list(backend.model.name, backend.model.zone, state, started)
        )

    def restart_backend(self, backend):
        """Starts a dead backend, cold and without faults; the inventory learns of it after `notice`."""
        backend.start(cold=True)
        backend.model.faults.__init__()
        self.note("started", backend.model.name)
        self.report_state(backend, "ready", parse_duration(self.fleet["notice"]))

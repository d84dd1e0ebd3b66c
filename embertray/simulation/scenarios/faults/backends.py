"""Faults of backends: they die, hang, fail, report wrong loads, drain, or start cold."""

from embertray.service.site.values import parse_duration

from .base import SECOND_NS, FaultBase


class Backends(FaultBase):
    """The faults of backends."""

    async def do_crash(self):
        """They die, and the inventory learns of it after `notice`; after `for` they restart cold."""
        for backend in (targets := self.backends()):
            backend.die()
            self.report_state(backend, "gone", parse_duration(self.fleet["notice"]))
        await self.wait(self.spec.lasts)
        for backend in targets:
            self.restart_backend(backend)

    async def do_vanish(self):
        """They die without a reset of their streams; the inventory learns of it after `silent-notice`."""
        for backend in (targets := self.backends()):
            backend.die(silent=True)
            self.report_state(backend, "gone", parse_duration(self.fleet["silent-notice"]))
        await self.wait(max(self.spec.lasts, parse_duration(self.fleet["silent-notice"])))
        for backend in targets:
            self.restart_backend(backend)

    async def set_faults(self, **faults):
        """Sets fields of the targets' BackendFaults for the fault's duration, then resets them."""
        for backend in (targets := self.backends()):
            for name, value in faults.items():
                setattr(backend.model.faults, name, value)
        await self.wait(self.spec.lasts)
        for backend in targets:
            for name in faults:
                setattr(backend.model.faults, name, type(backend.model.faults)().__getattribute__(name))

    async def do_slow(self):
        """Their work takes `times` as long."""
        await self.set_faults(slowdown=self.spec.times)

    async def do_hang(self):
        """They accept requests and answer none."""
        await self.set_faults(hang=True)

    async def do_errors(self):
        """They answer a `share` of requests with an error, all by default."""
        await self.set_faults(error_share=float(self.spec.options.get("share", "1")))

    async def do_kind_fails(self):
        """They answer all requests of the kinds in `kind` with an error."""
        await self.set_faults(failing_kinds=set(self.spec.options["kind"].split(",")))

    async def do_false_reports(self):
        """They report `times` their true load; a tenth by default."""
        await self.set_faults(report_factor=self.spec.times if self.spec.times != 1 else 0.1)

    async def do_flap(self):
        """They die and restart `times` times, down for `by` and up for `by`."""
        for _ in range(max(1, int(self.spec.times))):
            for backend in (targets := self.backends()):
                backend.die()
                self.report_state(backend, "gone", parse_duration(self.fleet["notice"]))
            await self.wait(self.spec.by)
            for backend in targets:
                self.restart_backend(backend)
            await self.wait(self.spec.by)

    async def do_one_sided(self):
        """They fail for the proxies of one controller only."""
        names = {
            proxy.name
            for proxy in self.stage.proxies
            if proxy.home == int(self.spec.options.get("controller", "c1")[1:]) - 1
        }
        for backend in (targets := self.backends()):
            backend.failing_proxies |= names
        await self.wait(self.spec.lasts)
        for backend in targets:
            backend.failing_proxies -= names

    async def do_deploy(self):
        """They are drained, stopped and restarted cold, in batches."""
        targets = self.backends()
        batch = int(self.spec.options.get("batch", "1"))
        drain = parse_duration(self.spec.options.get("drain", "4s"))
        for first in range(0, len(targets), batch):
            for backend in targets[first : first + batch]:
                self.report_state(backend, "draining", parse_duration(self.fleet["answers"]))
            await self.wait(drain)
            for backend in targets[first : first + batch]:
                backend.die()
                self.report_state(backend, "gone", parse_duration(self.fleet["notice"]) // 2)
            await self.wait(SECOND_NS)
            for backend in targets[first : first + batch]:
                self.restart_backend(backend)
            await self.wait(self.spec.by)

    async def do_preempt(self):
        """They end for good after a short warning, in batches; cold replacements have new addresses."""
        targets = self.backends()
        batch = int(self.spec.options.get("batch", "1"))
        warning = parse_duration(self.spec.options.get("drain", "3s"))
        for first in range(0, len(targets), batch):
            wave = targets[first : first + batch]
            for backend in wave:
                self.report_state(backend, "draining", parse_duration(self.fleet["answers"]))
            await self.wait(warning)
            for backend in wave:
                backend.die()
                self.report_state(backend, "gone", parse_duration(self.fleet["notice"]))
            for backend in wave:
                number = len(self.stage.backends)
                new = await self.stage.add(
                    number, backend.model.zone, backend.model.shape.speed, cold=True, listed=False
                )
                self.report_state(new, "ready", parse_duration(self.fleet["notice"]))
            await self.wait(self.spec.by)

    async def do_add(self):
        """`times` more backends start cold at once."""
        for n in range(int(self.spec.times)):
            zone = self.stage.site.zones[n % len(self.stage.site.zones)]
            backend = await self.stage.add(len(self.stage.backends), zone, 1.0, cold=True, listed=False)
            self.report_state(backend, "ready", parse_duration(self.fleet["notice"]))

    async def do_rejoin_list(self):
        """They are gone, and ready with a new start at once, within one batch of the controller."""
        for backend in self.backends():
            backend.die()
            backend.start(cold=True)
            self.note("started", backend.model.name)
            inventory = self.stage.inventory
            model = backend.model
            inventory.list(model.name, model.zone, "gone")
            inventory.list(model.name, model.zone, "ready", model.started)

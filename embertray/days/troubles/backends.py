"""Backends that die, hang, err, lie, drain, come cold."""

from ...site.site import time as span
from .base import S, Struck


class Backends(Struck):
    async def do_crash(self):
        for be in (struck := self.backends()):
            be.die()
            self.list(be, "gone", span(self.fleet["notice"]))
        await self.wait(self.told.lasts)
        for be in struck:
            self.come_back(be)

    async def do_vanish(self):
        for be in (struck := self.backends()):
            be.die(silent=True)
            self.list(be, "gone", span(self.fleet["silent-notice"]))
        await self.wait(max(self.told.lasts, span(self.fleet["silent-notice"])))
        for be in struck:
            self.come_back(be)

    async def ills(self, **ills):
        for be in (struck := self.backends()):
            for name, value in ills.items():
                setattr(be.model.ills, name, value)
        await self.wait(self.told.lasts)
        for be in struck:
            for name in ills:
                setattr(be.model.ills, name, type(be.model.ills)().__getattribute__(name))

    async def do_slow(self):
        await self.ills(slow=self.told.times)

    async def do_hang(self):
        await self.ills(hang=True)

    async def do_errors(self):
        await self.ills(fails=float(self.told.options.get("share", "1")))

    async def do_kind_fails(self):
        await self.ills(kinds=set(self.told.options["kind"].split(",")))

    async def do_false_reports(self):
        await self.ills(lies=self.told.times if self.told.times != 1 else 0.1)

    async def do_flap(self):
        for _ in range(max(1, int(self.told.times))):
            for be in (struck := self.backends()):
                be.die()
                self.list(be, "gone", span(self.fleet["notice"]))
            await self.wait(self.told.by)
            for be in struck:
                self.come_back(be)
            await self.wait(self.told.by)

    async def do_one_sided(self):
        """Bad for the proxies of one controller only."""
        names = {
            px.name
            for px in self.stage.proxies
            if px.home == int(self.told.options.get("controller", "c1")[1:]) - 1
        }
        for be in (struck := self.backends()):
            be.bad_for |= names
        await self.wait(self.told.lasts)
        for be in struck:
            be.bad_for -= names

    async def do_deploy(self):
        """By batches: drain, stop, start anew, cold."""
        struck, batch = self.backends(), int(self.told.options.get("batch", "1"))
        drain = span(self.told.options.get("drain", "4s"))
        for first in range(0, len(struck), batch):
            for be in struck[first : first + batch]:
                self.list(be, "draining", span(self.fleet["answers"]))
            await self.wait(drain)
            for be in struck[first : first + batch]:
                be.die()
                self.list(be, "gone", span(self.fleet["notice"]) // 2)
            await self.wait(S)
            for be in struck[first : first + batch]:
                self.come_back(be)
            await self.wait(self.told.by)

    async def do_preempt(self):
        """In waves: a short warning, then gone for good; replacements come cold under new addresses."""
        struck, batch = self.backends(), int(self.told.options.get("batch", "1"))
        warning = span(self.told.options.get("drain", "3s"))
        for first in range(0, len(struck), batch):
            wave = struck[first : first + batch]
            for be in wave:
                self.list(be, "draining", span(self.fleet["answers"]))
            await self.wait(warning)
            for be in wave:
                be.die()
                self.list(be, "gone", span(self.fleet["notice"]))
            for be in wave:
                number = len(self.stage.backends)
                new = await self.stage.add(
                    number, be.model.zone, be.model.shape.speed, cold=True, listed=False
                )
                self.list(new, "ready", span(self.fleet["notice"]))
            await self.wait(self.told.by)

    async def do_add(self):
        """So many more come, cold, all at once."""
        for n in range(int(self.told.times)):
            zone = self.stage.site.zones[n % len(self.stage.site.zones)]
            be = await self.stage.add(len(self.stage.backends), zone, 1.0, cold=True, listed=False)
            self.list(be, "ready", span(self.fleet["notice"]))

    async def do_rejoin_list(self):
        """Gone, then ready with a new start, within one batch of the controller."""
        for be in self.backends():
            be.die()
            be.start(cold=True)
            self.note("started", be.model.name)
            inventory, model = self.stage.inventory, be.model
            inventory.list(model.name, model.zone, "gone")
            inventory.list(model.name, model.zone, "ready", model.started)

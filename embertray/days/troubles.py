"""What goes wrong, as processes on a stage. Each strikes, lasts, and is over; several may overlap."""
import anyio

from ..inventory.messages import Listed
from ..site.site import time as span
from ..standin.parts import BROKEN
from ..stream.frames import frame
from ..stream.session import ProxyEnd

S = 10**9


def share(text):
    return float(text.rstrip("%")) / 100


class Trouble:
    """One line of a day. `stage` is a player.Stage, `told` a notation.Trouble."""

    def __init__(self, stage, told):
        self.stage, self.told = stage, told
        self.fleet = stage.day.fleet

    async def run(self):
        await self.at(self.stage.zero + self.told.at)
        await getattr(self, "do_" + self.told.name.replace("-", "_"))()

    async def at(self, when):
        await self.stage.clock.sleep_until(when)

    async def wait(self, time):
        await self.at(self.stage.clock.now() + time)

    def backends(self):
        return self.stage.strike(self.told.targets, self.stage.backends)

    def proxies(self):
        return self.stage.strike(self.told.targets, self.stage.proxies)

    def controllers(self):
        return [t for t in self.told.targets if isinstance(t, str) and t[0] == "c"]

    def note(self, what, who, *rest):
        self.stage.eyes.note(self.stage.clock.now(), what, who, *rest)

    def later(self, time, what, *args):
        self.stage.agenda.after(time, what, *args)

    def list(self, be, state, late):
        """The inventory learns of it so much later."""
        started = be.model.started
        self.later(late, lambda: self.stage.inventory.list(be.model.name, be.model.zone, state, started))

    def come_back(self, be):
        be.start(cold=True)
        be.model.ills.__init__()
        self.note("started", be.model.name)
        self.list(be, "ready", span(self.fleet["notice"]))

    # ---- backends

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
        names = {px.name for px in self.stage.proxies
                 if px.home == int(self.told.options.get("controller", "c1")[1:]) - 1}
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
            for be in struck[first:first + batch]:
                self.list(be, "draining", span(self.fleet["answers"]))
            await self.wait(drain)
            for be in struck[first:first + batch]:
                be.die()
                self.list(be, "gone", span(self.fleet["notice"]) // 2)
            await self.wait(S)
            for be in struck[first:first + batch]:
                self.come_back(be)
            await self.wait(self.told.by)

    async def do_preempt(self):
        """In waves: a short warning, then gone for good; replacements come cold under new addresses."""
        struck, batch = self.backends(), int(self.told.options.get("batch", "1"))
        warning = span(self.told.options.get("drain", "3s"))
        for first in range(0, len(struck), batch):
            wave = struck[first:first + batch]
            for be in wave:
                self.list(be, "draining", span(self.fleet["answers"]))
            await self.wait(warning)
            for be in wave:
                be.die()
                self.list(be, "gone", span(self.fleet["notice"]))
            for be in wave:
                number = len(self.stage.backends)
                new = await self.stage.add(number, be.model.zone, be.model.shape.speed, cold=True, listed=False)
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

    # ---- proxies

    async def do_reconnect(self):
        for px in self.proxies():
            px.break_stream()

    async def do_half_message(self):
        """A stream that breaks with a message half written, the other half never comes."""
        for px in self.proxies():
            if px.conn is not None:
                px.conn.put(frame(b"x" * 40)[:17])
                await anyio.sleep(0.01)
                px.break_stream()

    async def do_cut_off(self):
        for px in (struck := self.proxies()):
            px.cut_off = True
            px.break_stream()
        await self.wait(self.told.lasts)
        for px in struck:
            px.cut_off = False

    async def do_deaf(self):
        for px in (struck := self.proxies()):
            px.deaf = True
            self.note("out", px.name)
        await self.wait(self.told.lasts)
        for px in struck:
            px.deaf = False
            self.note("back", px.name)

    async def do_late_reports(self):
        for px in (struck := self.proxies()):
            px.lag = self.told.by
        await self.wait(self.told.lasts)
        for px in struck:
            px.lag = 0

    async def do_hot(self):
        struck = [n for n, px in enumerate(self.stage.proxies) if px in self.proxies()]
        for n in struck:
            self.stage.factors[n] = self.told.times
        await self.wait(self.told.lasts)
        for n in struck:
            self.stage.factors[n] = 1.0

    async def do_shift(self):
        zone = self.told.options["zone"]
        self.stage.shifted[zone] = self.told.times
        await self.wait(self.told.lasts)
        self.stage.shifted[zone] = 1.0

    async def do_twice(self):
        """A second process under the same name joins while the first is there."""
        for px in self.proxies():
            with anyio.move_on_after(1):
                stream = await self.stage.net.dial(px.controllers[px.home])
                async with stream:
                    await stream.send(ProxyEnd(px.name, px.zone, 1.0, True).start())
                    await stream.receive()

    # ---- controllers

    async def do_kill(self):
        for name in (struck := self.controllers()):
            self.note("killed", name)
            self.stage.held.kill(name)
        await self.wait(self.told.lasts)
        for name in struck:
            await self.stage.held.up(name)

    async def do_old_list(self):
        """Killed; the list is down for `down`; meanwhile a share is replaced by cold ones under other addresses, a
        share of the rest anew under its own. `for` later it starts from what it kept, now `age` older (`kept=first`: from
        what it kept first, before all that)."""
        stage, options = self.stage, self.told.options
        stage.inventory.go_down()
        for name in self.controllers():
            self.note("killed", name)
            stage.held.kill(name)
        order = [stage.backends[k] for k in stage.chance.of("replaced").permutation(len(stage.backends))
                 if stage.backends[k].model.state == "up"]
        cut = round(len(order) * share(options.get("replaced", "0%")))
        for be in order[:cut]:
            be.die()
            stage.inventory.list(be.model.name, be.model.zone, "gone")
            await stage.add(len(stage.backends), be.model.zone, be.model.shape.speed, cold=True)
        for be in order[cut:cut + round((len(order) - cut) * share(options.get("anew", "0%")))]:
            be.die()
            be.start(cold=True)
            self.note("started", be.model.name)
            stage.inventory.list(be.model.name, be.model.zone, "ready", be.model.started)
        await self.wait(self.told.lasts)
        for name in self.controllers():
            stage.held.age(name, span(options.get("age", "0s")), options.get("kept") == "first")
            await stage.held.up(name)
        await self.wait(span(options.get("down", "10s")))
        stage.inventory.come_back()

    async def do_short_list(self):
        """A broken inventory: for a while every call is answered with the first few only (`keep=`)."""
        inventory = self.stage.inventory
        true, inventory.entries = inventory.entries, dict(list(inventory.entries.items())[:int(
            self.told.options.get("keep", "2"))])
        self.break_list()
        await self.wait(self.told.lasts)
        inventory.entries = true
        self.break_list()

    def break_list(self):
        """Its connections break, so that whoever watches asks for the whole anew."""
        inventory = self.stage.inventory
        inventory.epoch += 1
        inventory.log.clear()
        inventory.go_down()
        inventory.come_back()

    async def do_lagging_list(self):
        """For a while a replica answers whose list is as old as the day: what has gone since is listed there."""
        inventory = self.stage.inventory
        true, epoch, log = inventory.entries, inventory.epoch, inventory.log
        inventory.entries = {be.model.name: Listed(be.model.name, be.model.zone) for be in self.stage.backends[:int(
            self.fleet["backends"])]}
        inventory.epoch, inventory.log = 1, {}
        inventory.go_down()
        inventory.come_back()
        await self.wait(self.told.lasts)
        inventory.entries, inventory.epoch, inventory.log = true, epoch, {}
        inventory.go_down()
        inventory.come_back()

    async def do_stall(self):
        """Stands still for `for`, as often as `times`, with `by` between."""
        controllers = self.controllers()
        proxies = self.stage.strike([t for t in self.told.targets if t not in controllers], self.stage.proxies)
        for _ in range(max(1, int(self.told.times))):
            for name in controllers:
                self.note("frozen", name)
                self.stage.held.freeze(name)
            for px in proxies:
                self.note("out", px.name)
                px.stand_still()
            await self.wait(self.told.lasts)
            for name in controllers:
                self.stage.held.thaw(name)
                self.note("thawed", name)
            for px in proxies:
                self.note("back", px.name)
                px.go_on()
            await self.wait(self.told.by)

    async def do_slow_channel(self):
        for name in (struck := self.controllers()):
            await self.pace(name, 1 / self.told.times)
        await self.wait(self.told.lasts)
        for name in struck:
            await self.pace(name, 1.0)

    async def pace(self, name, part):
        """By the operators' door, unless the controller is down."""
        try:
            await self.stage.admin(name, "POST", f"/pace?share={part:.6f}")
        except BROKEN:
            return
        self.note("pace", name, part)

    async def do_garbage(self):
        """Strangers on the proxies' door: noise, half frames, a gigabyte announced, a hello that never comes."""
        for name in self.controllers():
            at = dict(zip(self.stage.held.at, self.stage.held.addresses()))[name]
            for data in (b"GET / HTTP/1.1\r\n\r\n", b"\x40\x00\x00\x00", b"\x00\x00\x00\x05abc", b"\x00\x00\x00\x01\xc1", b""):
                stream = await self.stage.net.dial(at)
                self.stage.group.start_soon(self.babble, stream, data)

    async def babble(self, stream, data):
        async with stream:
            try:
                if data:
                    await stream.send(data)
                with anyio.move_on_after(20):
                    while await stream.receive():
                        pass
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                pass

    # ---- the list

    async def do_list_down(self):
        self.stage.inventory.go_down()
        await self.wait(self.told.lasts)
        self.stage.inventory.come_back()

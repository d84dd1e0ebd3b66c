"""Proxies that are cut off, deaf, late, hot, or there twice."""

import anyio

from ...stream.frames import frame
from ...stream.session import ProxyEnd
from .base import Struck


class Proxies(Struck):
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

"""Faults of proxies: disconnected, not reading, late reports, high load, or a duplicate process."""

import anyio

from embertray.common.framing import encode_frame
from embertray.controller.stream.session import ProxySession

from .base import FaultBase


class Proxies(FaultBase):
    """The faults of proxies and of their load."""

    async def do_reconnect(self):
        """Their streams break once; they reconnect."""
        for proxy in self.proxies():
            proxy.break_stream()

    async def do_half_message(self):
        """Their streams break within a message that they send."""
        for proxy in self.proxies():
            if proxy.conn is not None:
                proxy.conn.put(encode_frame(b"x" * 40)[:17])
                await anyio.sleep(0.01)
                proxy.break_stream()

    async def do_cut_off(self):
        """Their streams break, and they reach no controller for `for`."""
        for proxy in (targets := self.proxies()):
            proxy.cut_off = True
            proxy.break_stream()
        await self.wait(self.spec.lasts)
        for proxy in targets:
            proxy.cut_off = False

    async def do_deaf(self):
        """They read nothing from their streams for `for`."""
        for proxy in (targets := self.proxies()):
            proxy.deaf = True
            self.note("out", proxy.name)
        await self.wait(self.spec.lasts)
        for proxy in targets:
            proxy.deaf = False
            self.note("back", proxy.name)

    async def do_late_reports(self):
        """Their load reports are sent `by` late."""
        for proxy in (targets := self.proxies()):
            proxy.report_delay = self.spec.by
        await self.wait(self.spec.lasts)
        for proxy in targets:
            proxy.report_delay = 0

    async def do_hot(self):
        """Their load is multiplied by `times`."""
        targets = [n for n, proxy in enumerate(self.stage.proxies) if proxy in self.proxies()]
        for n in targets:
            self.stage.proxy_factors[n] = self.spec.times
        await self.wait(self.spec.lasts)
        for n in targets:
            self.stage.proxy_factors[n] = 1.0

    async def do_shift(self):
        """The load of a zone's proxies is multiplied by `times`."""
        zone = self.spec.options["zone"]
        self.stage.zone_factors[zone] = self.spec.times
        await self.wait(self.spec.lasts)
        self.stage.zone_factors[zone] = 1.0

    async def do_twice(self):
        """A second process of the same name joins while the first is connected."""
        for proxy in self.proxies():
            with anyio.move_on_after(1):
                stream = await self.stage.net.dial(proxy.controllers[proxy.home])
                async with stream:
                    await stream.send(ProxySession(proxy.name, proxy.zone, 1.0, True).start())
                    await stream.receive()

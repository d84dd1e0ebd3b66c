"""Faults of controllers: killed, paused, with a slow channel, or dialled by other programs."""

import anyio

from embertray.service.site.values import parse_duration
from embertray.simulation.standins.link import STREAM_ERRORS

from .base import FaultBase, parse_share


class Controllers(FaultBase):
    """The faults of controllers, and those of controllers and proxies alike."""

    async def do_kill(self):
        """They are killed, and restarted after `for`."""
        for name in (targets := self.controllers()):
            self.note("killed", name)
            self.stage.controllers.kill(name)
        await self.wait(self.spec.lasts)
        await self.stage.controllers.start_all(targets)

    async def do_restart(self):
        """They are stopped regularly and restarted at once, one after the other with `by` between."""
        for name in self.controllers():
            self.note("killed", name)
            await self.stage.controllers.restart(name)
            await self.wait(self.spec.by)

    async def do_slow_start(self):
        """They are killed and restarted at once, but their start takes `by`."""
        for name in (targets := self.controllers()):
            self.note("killed", name)
            self.stage.controllers.kill(name)
        await self.stage.controllers.start_delayed(targets, self.spec.by)

    async def do_old_list(self):
        """They are killed while the inventory is down and the fleet changes, and start from an old snapshot.

        Meanwhile a share (`replaced`) of the backends is replaced by cold ones with other addresses, and a
        share (`anew`) of the rest restarts with the same addresses. After `for` the controllers start from
        their snapshots, now `age` older (`kept=first`: from their first ones, taken before the fault). `down`
        later the inventory comes back.
        """
        stage = self.stage
        options = self.spec.options
        stage.inventory.go_down()
        for name in self.controllers():
            self.note("killed", name)
            stage.controllers.kill(name)
        await self.replace_backends(
            parse_share(options.get("replaced", "0%")), parse_share(options.get("anew", "0%"))
        )
        await self.wait(self.spec.lasts)
        for name in self.controllers():
            stage.controllers.age(
                name, parse_duration(options.get("age", "0s")), options.get("kept") == "first"
            )
            await stage.controllers.start_controller(name)
        await self.wait(parse_duration(options.get("down", "10s")))
        stage.inventory.come_back()

    async def replace_backends(self, replaced, restarted):
        """Replaces some backends by cold ones with other addresses, and restarts others with the same.

        Args:
            replaced: the share of the running backends that is replaced.
            restarted: the share of the rest that restarts.
        """
        stage = self.stage
        order = [
            stage.backends[k]
            for k in stage.random_streams.of("replaced").permutation(len(stage.backends))
            if stage.backends[k].model.state == "up"
        ]
        cut = round(len(order) * replaced)
        for backend in order[:cut]:
            backend.die()
            stage.inventory.list(backend.model.name, backend.model.zone, "gone")
            await stage.add(len(stage.backends), backend.model.zone, backend.model.shape.speed, cold=True)
        for backend in order[cut : cut + round((len(order) - cut) * restarted)]:
            backend.die()
            backend.start(cold=True)
            self.note("started", backend.model.name)
            stage.inventory.list(backend.model.name, backend.model.zone, "ready", backend.model.started)

    async def do_stall(self):
        """They are paused for `for`, `times` times with `by` between."""
        controllers = self.controllers()
        proxies = self.stage.select_targets(
            [t for t in self.spec.targets if t not in controllers], self.stage.proxies
        )
        for _ in range(max(1, int(self.spec.times))):
            for name in controllers:
                self.note("frozen", name)
                self.stage.controllers.freeze(name)
            for proxy in proxies:
                self.note("out", proxy.name)
                proxy.pause()
            await self.wait(self.spec.lasts)
            for name in controllers:
                self.stage.controllers.thaw(name)
                self.note("thawed", name)
            for proxy in proxies:
                self.note("back", proxy.name)
                proxy.resume()
            await self.wait(self.spec.by)

    async def do_slow_channel(self):
        """Their channels run at 1/`times` of the rate for `for`."""
        for name in (targets := self.controllers()):
            await self.set_pace(name, 1 / self.spec.times)
        await self.wait(self.spec.lasts)
        for name in targets:
            await self.set_pace(name, 1.0)

    async def set_pace(self, name, share_of_rate):
        """Sets a channel's pace over the operators' HTTP interface, unless the controller is down."""
        try:
            await self.stage.request_admin(name, "POST", f"/pace?share={share_of_rate:.6f}")
        except STREAM_ERRORS:
            return
        self.note("pace", name, share_of_rate)

    async def do_garbage(self):
        """Other programs dial the proxies' address.

        They send invalid data, incomplete frames, a frame length of a gigabyte, or nothing.
        """
        for name in self.controllers():
            at = dict(zip(self.stage.controllers.at, self.stage.controllers.addresses(), strict=False))[name]
            for data in (
                b"GET / HTTP/1.1\r\n\r\n",
                b"\x40\x00\x00\x00",
                b"\x00\x00\x00\x05abc",
                b"\x00\x00\x00\x01\xc1",
                b"",
            ):
                stream = await self.stage.net.dial(at)
                self.stage.group.start_soon(self.send_garbage, stream, data)

    async def send_garbage(self, stream, data):
        """Sends bytes on a stream and reads until the controller closes it, for at most 20 s."""
        async with stream:
            try:
                if data:
                    await stream.send(data)
                with anyio.move_on_after(20):
                    while await stream.receive():
                        pass
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                pass

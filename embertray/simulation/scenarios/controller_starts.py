"""Starts and restarts of controllers that are not processes of their own."""


class ControllerStarts:
    """Mixin for classes with `start_controller(name)`, `kill(name)` and `clock`."""

    async def start_all(self, names):
        """Starts controllers by their names, one after the other."""
        for name in names:
            await self.start_controller(name)

    async def start_delayed(self, names, by):
        """Starts controllers `by` ns from now."""
        await self.clock.sleep_until(self.clock.now() + by)
        await self.start_all(names)

    async def restart(self, name):
        """Ends a controller and starts it again at once."""
        self.kill(name)
        await self.start_controller(name)

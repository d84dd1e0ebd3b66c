"""How controllers that are no processes are started together, slowly, and again."""


class ControllerStarts:
    """For a class that has `start_controller(name)`, `kill(name)` and `clock`."""

    async def start_all(self, names):
        """Starts the controllers of those names, one after the other."""
        for name in names:
            await self.start_controller(name)

    async def start_delayed(self, names, by):
        """Starts them `by` ns from now."""
        await self.clock.sleep_until(self.clock.now() + by)
        await self.start_all(names)

    async def restart(self, name):
        """Ends a controller and starts it again at once."""
        self.kill(name)
        await self.start_controller(name)

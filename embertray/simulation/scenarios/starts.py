"""How controllers that are no processes are started together, slowly, and again."""


class Starts:
    """For a class that has `up(name)`, `kill(name)` and `clock`."""

    async def all_up(self, names):
        """Starts the controllers of those names, one after the other."""
        for name in names:
            await self.up(name)

    async def up_slowly(self, names, by):
        """Starts them `by` ns from now."""
        await self.clock.sleep_until(self.clock.now() + by)
        await self.all_up(names)

    async def restart(self, name):
        """Ends a controller and starts it again at once."""
        self.kill(name)
        await self.up(name)

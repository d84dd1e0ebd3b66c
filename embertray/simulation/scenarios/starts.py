"""How controllers that are no processes are started together, slowly, and again."""


class Starts:
    """For one that has `up(name)`, `kill(name)` and `clock`."""

    async def all_up(self, names):
        for name in names:
            await self.up(name)

    async def up_slowly(self, names, by):
        await self.clock.sleep_until(self.clock.now() + by)
        await self.all_up(names)

    async def restart(self, name):
        self.kill(name)
        await self.up(name)

"""Faults of the inventory: down, incomplete or outdated."""

from embertray.controller.endpoint_list.messages import EndpointEntry

from .base import FaultBase


class Lists(FaultBase):
    """The faults of the inventory."""

    async def do_list_down(self):
        """It answers nothing for `for`."""
        self.stage.inventory.go_down()
        await self.wait(self.spec.lasts)
        self.stage.inventory.come_back()

    async def do_short_list(self):
        """All its answers have only the first few entries (`keep=`) for `for`."""
        inventory = self.stage.inventory
        true_entries = inventory.entries
        kept = int(self.spec.options.get("keep", "2"))
        inventory.entries = dict(list(true_entries.items())[:kept])
        self.break_list()
        await self.wait(self.spec.lasts)
        inventory.entries = true_entries
        self.break_list()

    def break_list(self):
        """Breaks its connections, so that watchers request the complete list again."""
        inventory = self.stage.inventory
        inventory.epoch += 1
        inventory.changes.clear()
        inventory.go_down()
        inventory.come_back()

    async def do_lagging_list(self):
        """For `for` a replica answers with the list of the day's start, with backends that have left."""
        inventory = self.stage.inventory
        true_entries = inventory.entries
        true_epoch = inventory.epoch
        inventory.entries = {
            backend.model.name: EndpointEntry(backend.model.name, backend.model.zone)
            for backend in self.stage.backends[: int(self.fleet["backends"])]
        }
        inventory.epoch = 1
        inventory.changes = {}
        inventory.go_down()
        inventory.come_back()
        await self.wait(self.spec.lasts)
        inventory.entries = true_entries
        inventory.epoch = true_epoch
        inventory.changes = {}
        inventory.go_down()
        inventory.come_back()

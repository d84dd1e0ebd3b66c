"""An inventory that is down, short or behind."""

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
        """A broken inventory: for a while every call is answered with the first few only (`keep=`)."""
        inventory = self.stage.inventory
        true_entries = inventory.entries
        kept = int(self.spec.options.get("keep", "2"))
        inventory.entries = dict(list(true_entries.items())[:kept])
        self.break_list()
        await self.wait(self.spec.lasts)
        inventory.entries = true_entries
        self.break_list()

    def break_list(self):
        """Its connections break, so that whoever watches asks for the whole anew."""
        inventory = self.stage.inventory
        inventory.epoch += 1
        inventory.changes.clear()
        inventory.go_down()
        inventory.come_back()

    async def do_lagging_list(self):
        """For a while a replica answers whose list is as old as the day.

        What has gone since is listed there.
        """
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

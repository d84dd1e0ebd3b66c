"""Faults of links between processes: loss, duplication, delay, silence, flapping, resets and partitions.

They are available with processes only.
"""

from embertray.service.site.values import parse_duration
from embertray.simulation.scenarios.words import link_pairs

from .base import FaultBase, parse_share


class Links(FaultBase):
    """The faults of links; `stage.controllers.links` is the process harness's Network.

    If two faults overlap on a link, the later one's values hold, and its end is the end of both.
    """

    def pairs(self):
        """Returns the (sender, receiver) pairs of the targeted links."""
        network = self.stage.controllers.links
        found = []
        for target in self.spec.targets:
            if isinstance(target, float):
                found += self.stage.select_targets([target], network.pairs())
            else:
                found += link_pairs(target)
        return found

    async def set_for_duration(self, pairs, **conditions):
        """Sets conditions of links for the fault's duration."""
        network = self.stage.controllers.links
        now = self.stage.clock.now
        network.set_conditions(now(), pairs, **conditions)
        await self.wait(self.spec.lasts)
        network.restore_conditions(now(), pairs, conditions)

    async def do_lossy(self):
        """Datagrams are lost: a `share` of them, 30% by default."""
        await self.set_for_duration(self.pairs(), drop=parse_share(self.spec.options.get("share", "30%")))

    async def do_repeated(self):
        """Datagrams arrive twice: a `share` of them, 10% by default."""
        await self.set_for_duration(
            self.pairs(), duplicated=parse_share(self.spec.options.get("share", "10%"))
        )

    async def do_lagged(self):
        """They delay by `by`, plus up to `jitter`.

        Jitter greater than the gaps between datagrams reorders them; streams keep their order.
        """
        await self.set_for_duration(
            self.pairs(), delay=self.spec.by, jitter=parse_duration(self.spec.options.get("jitter", "0ms"))
        )

    async def do_silent(self):
        """Nothing passes for `for`."""
        await self.set_for_duration(self.pairs(), open=False)

    async def do_flutter(self):
        """They are closed and opened `times` times, for `by` each."""
        pairs = self.pairs()
        network = self.stage.controllers.links
        now = self.stage.clock.now
        for _ in range(max(1, int(self.spec.times))):
            network.set_conditions(now(), pairs, open=False)
            await self.wait(self.spec.by)
            network.restore_conditions(now(), pairs, ("open",))
            await self.wait(self.spec.by)

    async def do_reset(self):
        """Their streams are reset; new ones can be opened."""
        for pair in self.pairs():
            self.stage.controllers.links.reset(*pair)

    async def do_split(self):
        """Only processes of the same group reach each other; processes in no group reach all.

        Groups are given as groups=c1,c2,list/c3, or as shares, such as 30%/70%.
        """
        network = self.stage.controllers.links
        parts = self.spec.options["groups"].split("/")
        if "%" in parts[0]:
            rest = list(self.stage.select_targets([1.0], network.members))
            groups = []
            for part in parts:
                size = max(1, round(parse_share(part) * len(network.members)))
                groups.append(rest[:size])
                rest = rest[size:]
            groups[-1] += rest
        else:
            groups = [group.split(",") for group in parts]
        await self.set_for_duration(network.pairs_between(groups), open=False)

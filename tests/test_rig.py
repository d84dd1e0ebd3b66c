"""Several true processes with links between them that the rig breaks: dropped, one way, split, slow,
repeated, silent.
"""

import unittest

import anyio
from test_cluster_processes import ProcessesCase

from embertray.simulation.processes.cluster_members import LinkedClusterMembers


class Links(ProcessesCase):
    """Each case: three or four processes, all alive at all, then the wound, then its end."""

    def play(self, count, case):
        site = LinkedClusterMembers(self.folder, count)
        self.addCleanup(site.end)

        async def main():
            async with anyio.create_task_group() as group:
                await group.start(site.links.run)
                for name in site.names:
                    site.up(name)
                await anyio.to_thread.run_sync(self.through, site, case)
                group.cancel_scope.cancel()

        anyio.run(main)

    def through(self, site, case):
        alive = dict.fromkeys(site.names, "alive")
        site.wait(lambda: site.all_report(**alive), "all know all")
        case(site)
        site.links.heal()
        site.wait(lambda: site.all_report(**alive), "all know all after the wound's end")
        site.wait(
            site.all_within_bound,
            "what each told is within the bound again",
            timeout_s=site.staleness_bound() + 10,
        )
        self.assertLessEqual(*site.max_entry_age())

    def test_split_in_two(self):
        def case(site):
            site.links.split(["c1", "c2"], ["c3", "c4"])
            site.wait(
                lambda: (
                    site.states("c1") == {"c2": "alive", "c3": "dead", "c4": "dead"}
                    and site.states("c4") == {"c1": "dead", "c2": "dead", "c3": "alive"}
                ),
                "each side is alone",
            )

        self.play(4, case)

    def test_one_is_cut_off_and_knows(self):
        def case(site):
            site.links.split(["c1"], ["c2", "c3"])
            site.wait(lambda: site.status("c1")["cut_off"], "c1 believes itself cut off")
            site.wait(lambda: site.states("c2") == {"c1": "dead", "c3": "alive"}, "the others go on")
            self.assertFalse(site.status("c2")["cut_off"])

        self.play(3, case)

    def test_one_way_and_thirty_percent_lost_are_no_deaths(self):
        def case(site):
            site.links.link("c1", "c2").open = False
            counts = {name: site.status(name)["received"] for name in site.names}
            site.wait(
                lambda: all(site.status(n)["received"] > counts[n] + 100 for n in ("c1", "c3")),
                "a hundred messages more at c1 and c3",
            )
            self.assertNotIn("dead", site.failed_members().values())
            site.links.heal()
            site.links.set_all_conditions(drop=0.3, duplicated=0.1, jitter=20 * 10**6)
            counts = {name: site.status(name)["received"] for name in site.names}
            site.wait(
                lambda: all(site.status(n)["received"] > counts[n] + 150 for n in site.names),
                "150 messages more at each",
            )
            self.assertNotIn("dead", site.failed_members().values())
            self.assertGreater(sum(link.lost for link in site.links.links.values()), 50)

        self.play(4, case)

    def test_a_sabotaged_way_is_noticed(self):
        """A split that splits nothing: the same wait as above does not end."""

        def case(site):
            site.links.split(["c1", "c2", "c3"])
            with self.assertRaises(AssertionError):
                site.wait(lambda: site.status("c1")["cut_off"], "cut off", timeout_s=4)

        self.play(3, case)

    def test_one_that_ends_says_so(self):
        def case(site):
            site.running["c3"].terminate()
            self.assertEqual(site.running.pop("c3").wait_ended(), 0)
            site.wait(lambda: site.all_report(c1="alive", c2="alive", c3="left"), "c3 has left")
            site.up("c3")

        self.play(3, case)


if __name__ == "__main__":
    unittest.main()

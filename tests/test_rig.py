"""Cluster processes with faulty links: partitions, one-way links, losses, delays and duplicates."""

import unittest

import anyio
from test_cluster_processes import ProcessesCase

from embertray.simulation.processes.cluster_members import LinkedClusterMembers


class Links(ProcessesCase):
    """Each test starts processes, waits until all see each other alive, injects a fault and removes it."""

    def run_case(self, count, case):
        site = LinkedClusterMembers(self.folder, count)
        self.addCleanup(site.end)

        async def main():
            async with anyio.create_task_group() as group:
                await group.start(site.links.run)
                for name in site.names:
                    site.up(name)
                await anyio.to_thread.run_sync(self.run_fault, site, case)
                group.cancel_scope.cancel()

        anyio.run(main)

    def run_fault(self, site, case):
        alive = dict.fromkeys(site.names, "alive")
        site.wait(lambda: site.all_report(**alive), "all members see each other alive")
        case(site)
        site.links.heal()
        site.wait(lambda: site.all_report(**alive), "all members see each other alive after the fault")
        site.wait(
            site.all_within_bound,
            "all entries are within the staleness bound again",
            timeout_s=site.staleness_bound() + 10,
        )
        self.assertLessEqual(*site.max_entry_age())

    def test_partition_into_two_groups(self):
        def case(site):
            site.links.split(["c1", "c2"], ["c3", "c4"])
            site.wait(
                lambda: (
                    site.states("c1") == {"c2": "alive", "c3": "dead", "c4": "dead"}
                    and site.states("c4") == {"c1": "dead", "c2": "dead", "c3": "alive"}
                ),
                "each side considers the other dead",
            )

        self.run_case(4, case)

    def test_an_isolated_member_reports_that_it_is_cut_off(self):
        def case(site):
            site.links.split(["c1"], ["c2", "c3"])
            site.wait(lambda: site.status("c1")["cut_off"], "c1 reports that it is cut off")
            site.wait(
                lambda: site.states("c2") == {"c1": "dead", "c3": "alive"}, "the others consider only c1 dead"
            )
            self.assertFalse(site.status("c2")["cut_off"])

        self.run_case(3, case)

    def test_one_way_link_and_30_percent_loss_cause_no_deaths(self):
        def case(site):
            site.links.link("c1", "c2").open = False
            counts = {name: site.status(name)["received"] for name in site.names}
            site.wait(
                lambda: all(site.status(n)["received"] > counts[n] + 100 for n in ("c1", "c3")),
                "over 100 more messages at c1 and c3",
            )
            self.assertNotIn("dead", site.failed_members().values())
            site.links.heal()
            site.links.set_all_conditions(drop=0.3, duplicated=0.1, jitter=20 * 10**6)
            counts = {name: site.status(name)["received"] for name in site.names}
            site.wait(
                lambda: all(site.status(n)["received"] > counts[n] + 150 for n in site.names),
                "over 150 more messages at each member",
            )
            self.assertNotIn("dead", site.failed_members().values())
            self.assertGreater(sum(link.lost for link in site.links.links.values()), 50)

        self.run_case(4, case)

    def test_a_partition_without_effect_is_noticed(self):
        """With all members in one group, the wait for a cut-off member times out."""

        def case(site):
            site.links.split(["c1", "c2", "c3"])
            with self.assertRaises(AssertionError):
                site.wait(lambda: site.status("c1")["cut_off"], "c1 reports that it is cut off", timeout_s=4)

        self.run_case(3, case)

    def test_a_terminated_member_leaves(self):
        def case(site):
            site.running["c3"].terminate()
            self.assertEqual(site.running.pop("c3").wait_ended(), 0)
            site.wait(lambda: site.all_report(c1="alive", c2="alive", c3="left"), "c3 has left")
            site.up("c3")

        self.run_case(3, case)


if __name__ == "__main__":
    unittest.main()

"""Real processes of the program on loopback: killed, stopped, restarted, and two with the same name. Every
wait polls the status of a process, with a timeout; no verdict depends on a fixed sleep."""

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from lxml import etree

from embertray.cluster.membership import MembershipConfig
from embertray.simulation.processes.cluster_members import PROBE_PERIOD_MS, ClusterMembers
from embertray.simulation.processes.ports import free_ports
from embertray.simulation.processes.program import ROOT


class ProcessesCase(unittest.TestCase):
    """Ends the processes that a test case starts."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def site(self, count, **more):
        site = ClusterMembers(self.folder, count, **more)
        self.addCleanup(site.end)
        for name in site.names:
            site.up(name)
        return site


class Processes(ProcessesCase):
    def test_killed_stopped_and_started_again(self):
        site = self.site(4)
        alive = dict.fromkeys(site.names, "alive")
        site.wait(lambda: site.all_report(**alive), "all members know each other")
        site.wait(site.all_within_bound, "each member knows the facts of every other")
        self.assertLessEqual(*site.max_entry_age())
        status_output = subprocess.run(
            [sys.executable, "-m", "embertray", "cluster", "status", "--admin", site.admin["c1"]],
            cwd=ROOT,
            capture_output=True,
            text=True,
        ).stdout
        self.assertEqual(
            [line.split()[:2] for line in status_output.splitlines()[2:]],
            [["c2", "alive"], ["c3", "alive"], ["c4", "alive"]],
        )

        def account():
            return {row["purpose"]: row for row in json.loads(site.get_page("c1", "/memory"))["purposes"]}[
                "cluster"
            ]

        site.wait(
            lambda: account()["entries"] > 3, "the memory accounts include the cluster"
        )  # they are updated each second
        self.assertEqual(account()["action"], "leave out")

        config = MembershipConfig(probe_period=PROBE_PERIOD_MS * 10**6)
        bound_s = (
            2 * 3 * config.probe_period + config.suspicion_timeout(4, 0) + 8 * config.probe_period
        ) / 1e9  # the detection bound for four members
        site.kill("c4")
        took = site.wait(lambda: site.all_report(**alive | {"c4": "dead"}), "c4 is dead")
        self.assertLessEqual(took, bound_s + 2)  # plus the time that this machine needs to poll

        site.pause("c3")
        site.wait(lambda: site.all_report(c3="dead"), "c3 is stopped and considered dead")
        site.resume("c3")
        site.wait(lambda: site.all_report(c1="alive", c2="alive", c3="alive"), "c3 is back")
        self.assertNotIn(
            '"dead"',
            "".join(
                line
                for line in (Path(self.folder) / "c3.log").read_text().splitlines()
                if '"c1"' in line or '"c2"' in line
            ),
        )  # c3 has declared nobody dead

        site.up("c4")
        site.wait(lambda: site.all_report(**alive), "c4 is alive again")

    def test_all_members_restart_at_once(self):
        site = self.site(3)
        alive = dict.fromkeys(site.names, "alive")
        site.wait(lambda: site.all_report(**alive), "all members know each other")
        for name in site.names:
            site.kill(name)
        for name in site.names:
            site.up(name)
        site.wait(lambda: site.all_report(**alive), "all members know each other after all were killed")

    def test_newer_process_of_a_name_replaces_the_older(self):
        site = self.site(2)
        site.wait(lambda: site.all_report(c1="alive", c2="alive"), "both members know each other")
        ports = free_ports(3)
        known_ports = {
            name: [int(element.get(key).rpartition(":")[2]) for key in ("listen", "admin", "cluster")]
            for element in etree.parse(str(site.path)).getroot().find("controllers")
            for name in [element.get("name")]
        }
        path = site.write_description("other", known_ports | {"c2": ports})
        site.up("c2", path, "younger")
        older = site.running.pop("c2")
        self.assertEqual(older.wait_ended(), 0)
        self.assertIn("a younger process has the name c2", (Path(self.folder) / "c2.log").read_text())
        site.admin["c2"] = f"127.0.0.1:{ports[1]}"
        site.wait(
            lambda: (
                {m["name"]: m["address"] for m in site.status("c1")["members"]}
                == {"c2": f"127.0.0.1:{ports[2]}"}
                and site.states("c1") == {"c2": "alive"}
            ),
            "c1 knows the newer process",
        )

    def test_without_a_cluster_nothing_of_it_runs(self):
        site = self.site(1, clustered=False)
        site.wait(lambda: site.get_page("c1", "/live") == b"live\n", "c1 lives")
        self.assertIn(b"no cluster", site.get_page("c1"))
        self.assertNotIn(b'"cluster"', site.get_page("c1", "/memory"))
        code = (
            "import sys; import embertray.cli.main, embertray.service.daemon.service, "
            "embertray.service.admin.http; "
            "print([m for m in sys.modules if m.startswith('embertray.cluster')])"
        )
        self.assertEqual(
            subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT).stdout,
            "[]\n",
        )


class SiteDescription(unittest.TestCase):
    def test_a_cluster_needs_its_members_addresses(self):
        from embertray.service.site import SiteError, load

        with tempfile.TemporaryDirectory() as folder:
            site = ClusterMembers(folder, 2)
            self.assertEqual(load(site.path).cluster.period, PROBE_PERIOD_MS * 10**6)
            text = site.path.read_text()
            without_address = (
                text[: text.index(" cluster=")]
                + text[text.index(" cluster=") + len(' cluster="127.0.0.1:') + 5 + 1 :]
            )
            site.path.write_text(without_address)
            with self.assertRaisesRegex(SiteError, "a cluster needs its address"):
                load(site.path)


if __name__ == "__main__":
    unittest.main()

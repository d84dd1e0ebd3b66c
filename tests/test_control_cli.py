"""`embertray control` against real processes: three replicas and a controller that follows them."""

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from embertray.cli.control import control as control_commands
from embertray.simulation.processes.control_plane import ControlPlane
from embertray.simulation.processes.ports import free_ports
from embertray.simulation.processes.program import ROOT

UNKNOWN_REVISION = 10**6  # a revision that no test reaches


def embertray(*arguments):
    """Runs a command as a process and returns the CompletedProcess."""
    command = [sys.executable, "-m", "embertray", *arguments]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)


def control(*arguments):
    """Runs a command of `embertray control` in this process, which saves the start of an interpreter."""
    completed = CliRunner().invoke(control_commands, arguments)
    return subprocess.CompletedProcess(arguments, completed.exit_code, completed.stdout, completed.stderr)


class ControlCommands(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = Path(folder.name)
        cls.plane = ControlPlane(folder.name, controllers=1)
        cls.addClassCleanup(cls.plane.end)
        cls.plane.all_up()
        cls.plane.wait(cls.plane.leader, "a leader")

    def control(self, *arguments, at="k1"):
        return control(*arguments, "--admin", self.plane.admin(at))

    def put(self, key, text, *more, at="k1"):
        """Writes a value and returns the revision at which it is committed."""
        path = self.folder / "value"
        path.write_text(text)
        completed = self.control("put", key, str(path), *more, at=at)
        self.assertEqual((completed.returncode, completed.stderr), (0, ""))
        self.assertRegex(completed.stdout, f"^{key}: committed at revision [0-9]+\n$")
        return int(completed.stdout.split()[-1])

    def get(self, key, at="k1"):
        completed = self.control("get", key, at=at)
        return completed.stdout if completed.returncode == 0 else completed.returncode

    def test_values_are_written_read_rolled_back_and_removed_at_any_replica(self):
        first = self.put("limits/search", "10\n", at="k1")
        second = self.put("limits/search", "20\n", at="k2")
        self.assertGreater(second, first)
        completed = self.control("rollback", "limits/search", str(first), at="k3")
        self.assertEqual(completed.returncode, 0, completed.stderr)
        for name in ("k1", "k2", "k3", "c1"):
            self.plane.wait(
                lambda name=name: self.get("limits/search", name) == "10\n", f"rolled back at {name}"
            )
        versions = self.control("get", "limits/search", "--versions").stdout.splitlines()
        self.assertEqual([line.split()[1] for line in versions], ["3", "3", "3"])
        answer = json.loads(self.control("get", "limits/search", "--json").stdout)
        self.assertEqual((answer["type"], answer["value"]), ("value", "MTAK"))
        completed = self.control("remove", "limits/search")
        self.assertEqual(completed.returncode, 0, completed.stderr)
        for name in ("k1", "k2", "k3", "c1"):
            self.plane.wait(lambda name=name: self.get("limits/search", name) == 1, f"removed at {name}")
        applied = [row for row in self.plane.applied("c1") if row[0] == "limits/search"]
        self.assertIsNone(applied[-1][2])
        self.assertEqual([row[1] for row in applied], sorted({row[1] for row in applied}))

    def test_a_repeated_request_writes_once(self):
        first = self.put("repeated", "1", "--request", "the-request", at="k1")
        self.assertEqual(self.put("repeated", "1", "--request", "the-request", at="k2"), first)
        completed = self.control("rollback", "repeated", str(first), "--request", "the-request")
        self.assertEqual(completed.stdout, f"repeated: committed at revision {first}\n")

    def test_a_rejected_call_prints_one_line_with_the_reason(self):
        revision = self.put("refused", "1")
        oversized = self.folder / "most"
        oversized.write_bytes(b"x" * 8_000)
        huge = self.folder / "huge"
        huge.write_bytes(b"x" * 100_000)
        value = str(self.folder / "value")
        cases = (
            (("put", "refused", value, "--expected", "0"), f"at revision {revision}, not 0 .Conflict."),
            (("put", "refused", value, "--expected", str(UNKNOWN_REVISION)), "Conflict"),
            (("put", "k" * 257, value), "1 to 256 bytes .BadKey."),
            (("put", "refused", str(oversized)), "8000 bytes, 6976 at most .TooLarge."),
            (("put", "refused", str(huge)), "a body of over 65536 bytes"),
            (("put", "refused", value, "--request", "r" * 65), "BadRequest"),
            (
                ("rollback", "refused", str(UNKNOWN_REVISION)),
                f"not kept at version {UNKNOWN_REVISION} .VersionNotKept.",
            ),
            (("get", "no-such-key"), "there is no such key"),
        )
        for arguments, expected in cases:
            with self.subTest(expected=expected):
                completed = self.control(*arguments)
                self.assertEqual((completed.returncode, completed.stdout), (1, ""))
                self.assertRegex(completed.stderr, expected)
                self.assertEqual(len(completed.stderr.splitlines()), 1)
        self.assertEqual(self.put("refused", "2", "--expected", str(revision)), self.revision("refused"))

    def revision(self, key):
        leader = self.plane.leader()
        return json.loads(self.control("get", key, "--json", at=leader).stdout)["revision"]

    def test_invalid_input_gives_an_error_and_exit_code_2(self):
        unused_address = f"127.0.0.1:{free_ports(1)[0]}"
        value = self.folder / "some"
        value.write_text("1")
        site = str(self.plane.write_description("k1"))
        site_without_control = ROOT / "embertray" / "service" / "site" / "samples" / "pushed.xml"
        cases = (
            (("status", "--admin", unused_address), unused_address),
            (("put", "key", str(value), "--admin", unused_address), unused_address),
            (("get", "key", "--admin", "10.0.0.1:80"), "not a loopback address"),
            (("put", "key", str(value), "--admin", "nonsense"), "not of the form host:port"),
            (("put", "key", str(self.folder / "missing"), "--admin", unused_address), "No such file"),
            (("rollback", "key", "0", "--admin", unused_address), "0"),
            (("rollback", "key", "first", "--admin", unused_address), "first"),
            (("put", "key", str(value)), "--admin"),
            (("serve", site, "--replica", "k9"), "no replica 'k9'"),
            (("serve", str(site_without_control), "--replica", "k1"), "no <control>"),
            (("serve", str(self.folder / "missing.xml"), "--replica", "k1"), "missing.xml"),
            (("serve", site, "--replica", "k1"), "in use"),
        )
        for arguments, expected in cases:
            with self.subTest(arguments=arguments):
                completed = control(*arguments)
                self.assertEqual(completed.returncode, 2, completed)
                self.assertIn(expected, completed.stderr)
                self.assertNotIn("Traceback", completed.stderr)

    def test_the_program_has_the_control_commands(self):
        completed = embertray("control", "status", "--admin", self.plane.admin("k1"), "--json")
        self.assertEqual((completed.returncode, completed.stderr), (0, ""))
        self.assertEqual(json.loads(completed.stdout)["name"], "k1")

    def test_invalid_requests_get_an_error_status(self):
        for method, page, status in (
            ("GET", "/nothing", 404),
            ("POST", "/control/key", 405),
            ("GET", "/control/key", 400),
            ("PUT", "/control/key?key=x&request=r&expected=-1", 400),
            ("POST", "/control/rollback?key=x&request=r&version=x", 400),
            ("PUT", "/control/key?key=x", 400),
        ):
            with self.subTest(method=method, page=page):
                self.assertEqual(self.request_status("k1", method, page), status)
        self.assertEqual(self.plane.get_page("c1", "/control/key")[0], 400)

    def request_status(self, name, method, page):
        import http.client

        connection = http.client.HTTPConnection(self.plane.admin(name), timeout=5)
        self.addCleanup(connection.close)
        connection.request(method, page)
        return connection.getresponse().status

    def test_status_and_metrics_of_replicas_and_controllers(self):
        self.put("status", "1")
        leader = self.plane.leader()
        shown = self.control("status", at=leader).stdout
        self.assertRegex(shown, f"^{leader} in pushed: leads, term [0-9]+\n")
        self.plane.wait(
            lambda: "1 subscribers in all hold" in self.control("status", at=leader).stdout, "all are counted"
        )
        follower = next(name for name in self.plane.replicas if name != leader)
        self.assertRegex(self.control("status", at=follower).stdout, f"follower, {leader} leads")
        self.assertEqual(self.plane.get_page(leader, "/ready")[0], 200)
        self.assertIn(b"embertray_control_leads 1", self.plane.get_page(leader, "/metrics")[1])
        self.plane.wait(lambda: (self.plane.status("c1") or {}).get("connected"), "the controller follows")
        status = self.plane.status("c1")
        self.assertEqual((status["type"], status["cluster"]), ("subscriber", "pushed"))
        self.assertRegex(self.control("status", at="c1").stdout, "^c1 in pushed: follows k[123]\nrevision ")
        self.assertIn(b"embertray_control_connected 1", self.plane.get_page("c1", "/metrics")[1])


class StoppedProcesses(unittest.TestCase):
    """Tests that stop processes; each starts its own."""

    def plane(self, **more):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        plane = ControlPlane(folder.name, **more)
        self.addCleanup(plane.end)
        plane.all_up()
        plane.wait(plane.leader, "a leader")
        self.value = Path(folder.name) / "value"
        self.value.write_text("1")
        return plane

    def test_a_write_succeeds_with_the_next_leader(self):
        plane = self.plane()
        leader = plane.leader()
        other = next(name for name in plane.replicas if name != leader)
        plane.kill(leader)
        completed = control("put", "key", str(self.value), "--admin", plane.admin(other))
        self.assertEqual((completed.returncode, completed.stderr), (0, ""))

    def test_without_a_majority_a_write_is_rejected_or_unknown(self):
        plane = self.plane()
        survivor = plane.leader()
        for name in [name for name in plane.replicas if name != survivor]:
            plane.kill(name)
        put = ("put", "key", str(self.value))
        completed = control(*put, "--within", "3", "--admin", plane.admin(survivor))
        self.assertIn(completed.returncode, (1, 3))
        self.assertRegex(
            completed.stderr, "^key: (refused, nothing is written|unknown whether it is written): "
        )
        status = control("status", "--admin", plane.admin(survivor)).stdout
        self.assertRegex(status, "NO LEADER KNOWN|WITHOUT A MAJORITY")
        self.assertEqual(plane.get_page(survivor, "/ready")[0], 503)

    def test_a_replica_stops_on_sigterm_and_restarts_from_its_state(self):
        plane = self.plane(replicas=1, controllers=1)
        completed = control("put", "key", str(self.value), "--admin", plane.admin("k1"))
        self.assertEqual(completed.returncode, 0, completed.stderr)
        plane.wait(
            lambda: plane.get_page("c1", "/control/key?key=key")[0] == 200, "in force at the controller"
        )
        program = plane.running.pop("k1")
        program.terminate()
        self.assertEqual(program.wait_ended(), 0)
        plane.up("k1")
        plane.wait(plane.leader, "it leads again")
        completed = control("get", "key", "--admin", plane.admin("k1"))
        self.assertEqual((completed.returncode, completed.stdout), (0, "1"))


class WithoutControl(unittest.TestCase):
    def test_without_control_its_modules_are_not_imported(self):
        for modules in (
            "embertray.cli.main, embertray.service.daemon.service, embertray.service.admin.http",
            "embertray.platform.run.service",
            "embertray.benchlink.batches",
        ):
            code = (
                f"import sys; import {modules}; print([name for name in sys.modules "
                "if name.startswith(('embertray.cluster.replication', 'embertray.service.daemon.control'))])"
            )
            completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT)
            self.assertEqual((completed.stdout, completed.stderr), ("[]\n", ""))

    def test_a_controller_of_a_site_without_control_has_none(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        plane = ControlPlane(folder.name, replicas=0, controllers=1)
        self.addCleanup(plane.end)
        plane.up("c1")
        plane.wait(lambda: plane.get_page("c1", "/live")[0] == 200, "it lives")
        code, body = plane.get_page("c1")
        self.assertEqual((code, body), (404, b"no control plane: the site has no <control>\n"))
        self.assertNotIn(b"embertray_control_", plane.get_page("c1", "/metrics")[1])


if __name__ == "__main__":
    unittest.main()

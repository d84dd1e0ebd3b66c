"""`embertray control` against true processes: three replicas and a controller that follows them."""

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

NOT_KNOWN = 10**6  # a revision that no test reaches


def embertray(*arguments):
    """A command as a process, run to its end."""
    command = [sys.executable, "-m", "embertray", *arguments]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)


def control(*arguments):
    """A command of `embertray control` in this process: the same but for the interpreter's start."""
    done = CliRunner().invoke(control_commands, arguments)
    return subprocess.CompletedProcess(arguments, done.exit_code, done.stdout, done.stderr)


class Commands(unittest.TestCase):
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
        """The revision at which it is committed."""
        path = self.folder / "value"
        path.write_text(text)
        done = self.control("put", key, str(path), *more, at=at)
        self.assertEqual((done.returncode, done.stderr), (0, ""))
        self.assertRegex(done.stdout, f"^{key}: committed at revision [0-9]+\n$")
        return int(done.stdout.split()[-1])

    def get(self, key, at="k1"):
        done = self.control("get", key, at=at)
        return done.stdout if done.returncode == 0 else done.returncode

    def test_written_read_rolled_back_and_removed_at_any_replica(self):
        first = self.put("limits/search", "10\n", at="k1")
        second = self.put("limits/search", "20\n", at="k2")
        self.assertGreater(second, first)
        done = self.control("rollback", "limits/search", str(first), at="k3")
        self.assertEqual(done.returncode, 0, done.stderr)
        for name in ("k1", "k2", "k3", "c1"):
            self.plane.wait(
                lambda name=name: self.get("limits/search", name) == "10\n", f"rolled back at {name}"
            )
        versions = self.control("get", "limits/search", "--versions").stdout.splitlines()
        self.assertEqual([line.split()[1] for line in versions], ["3", "3", "3"])
        answer = json.loads(self.control("get", "limits/search", "--json").stdout)
        self.assertEqual((answer["type"], answer["value"]), ("value", "MTAK"))
        done = self.control("remove", "limits/search")
        self.assertEqual(done.returncode, 0, done.stderr)
        for name in ("k1", "k2", "k3", "c1"):
            self.plane.wait(lambda name=name: self.get("limits/search", name) == 1, f"removed at {name}")
        applied = [row for row in self.plane.applied("c1") if row[0] == "limits/search"]
        self.assertIsNone(applied[-1][2])
        self.assertEqual([row[1] for row in applied], sorted({row[1] for row in applied}))

    def test_a_repeated_request_writes_once(self):
        first = self.put("repeated", "1", "--request", "the-request", at="k1")
        self.assertEqual(self.put("repeated", "1", "--request", "the-request", at="k2"), first)
        done = self.control("rollback", "repeated", str(first), "--request", "the-request")
        self.assertEqual(done.stdout, f"repeated: committed at revision {first}\n")

    def test_what_is_refused_says_why_in_one_line(self):
        revision = self.put("refused", "1")
        most = self.folder / "most"
        most.write_bytes(b"x" * 8_000)
        huge = self.folder / "huge"
        huge.write_bytes(b"x" * 100_000)
        value = str(self.folder / "value")
        cases = (
            (("put", "refused", value, "--expected", "0"), f"at revision {revision}, not 0 .Conflict."),
            (("put", "refused", value, "--expected", str(NOT_KNOWN)), "Conflict"),
            (("put", "k" * 257, value), "1 to 256 bytes .BadKey."),
            (("put", "refused", str(most)), "8000 bytes, 6976 at most .TooLarge."),
            (("put", "refused", str(huge)), "a body of over 65536 bytes"),
            (("put", "refused", value, "--request", "r" * 65), "BadRequest"),
            (("rollback", "refused", str(NOT_KNOWN)), f"not kept at version {NOT_KNOWN} .VersionNotKept."),
            (("get", "no-such-key"), "there is no such key"),
        )
        for arguments, words in cases:
            with self.subTest(words=words):
                done = self.control(*arguments)
                self.assertEqual((done.returncode, done.stdout), (1, ""))
                self.assertRegex(done.stderr, words)
                self.assertEqual(len(done.stderr.splitlines()), 1)
        self.assertEqual(self.put("refused", "2", "--expected", str(revision)), self.revision("refused"))

    def revision(self, key):
        leader = self.plane.leader()
        return json.loads(self.control("get", key, "--json", at=leader).stdout)["revision"]

    def test_bad_input_is_one_line_and_code_2(self):
        nobody = f"127.0.0.1:{free_ports(1)[0]}"
        value = self.folder / "some"
        value.write_text("1")
        site = str(self.plane.described("k1"))
        without = ROOT / "embertray" / "service" / "site" / "samples" / "pushed.xml"
        cases = (
            (("status", "--admin", nobody), nobody),
            (("put", "key", str(value), "--admin", nobody), nobody),
            (("get", "key", "--admin", "10.0.0.1:80"), "not a loopback address"),
            (("put", "key", str(value), "--admin", "nonsense"), "not of the form host:port"),
            (("put", "key", str(self.folder / "missing"), "--admin", nobody), "No such file"),
            (("rollback", "key", "0", "--admin", nobody), "0"),
            (("rollback", "key", "first", "--admin", nobody), "first"),
            (("put", "key", str(value)), "--admin"),
            (("serve", site, "--replica", "k9"), "no replica 'k9'"),
            (("serve", str(without), "--replica", "k1"), "no <control>"),
            (("serve", str(self.folder / "missing.xml"), "--replica", "k1"), "missing.xml"),
            (("serve", site, "--replica", "k1"), "in use"),
        )
        for arguments, words in cases:
            with self.subTest(arguments=arguments):
                done = control(*arguments)
                self.assertEqual(done.returncode, 2, done)
                self.assertIn(words, done.stderr)
                self.assertNotIn("Traceback", done.stderr)

    def test_the_program_has_these_commands(self):
        done = embertray("control", "status", "--admin", self.plane.admin("k1"), "--json")
        self.assertEqual((done.returncode, done.stderr), (0, ""))
        self.assertEqual(json.loads(done.stdout)["name"], "k1")

    def test_calls_that_are_none_get_a_line(self):
        for method, page, status in (
            ("GET", "/nothing", 404),
            ("POST", "/control/key", 405),
            ("GET", "/control/key", 400),
            ("PUT", "/control/key?key=x&request=r&expected=-1", 400),
            ("POST", "/control/rollback?key=x&request=r&version=x", 400),
            ("PUT", "/control/key?key=x", 400),
        ):
            with self.subTest(method=method, page=page):
                self.assertEqual(self.asked("k1", method, page), status)
        self.assertEqual(self.plane.ask("c1", "/control/key")[0], 400)

    def asked(self, name, method, page):
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
        self.assertEqual(self.plane.ask(leader, "/ready")[0], 200)
        self.assertIn(b"embertray_control_leads 1", self.plane.ask(leader, "/metrics")[1])
        self.plane.wait(lambda: (self.plane.status("c1") or {}).get("connected"), "the controller follows")
        status = self.plane.status("c1")
        self.assertEqual((status["type"], status["cluster"]), ("subscriber", "pushed"))
        self.assertRegex(self.control("status", at="c1").stdout, "^c1 in pushed: follows k[123]\nrevision ")
        self.assertIn(b"embertray_control_connected 1", self.plane.ask("c1", "/metrics")[1])


class Ended(unittest.TestCase):
    """Cases that end processes, each with its own."""

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

    def test_a_write_goes_on_with_the_next_leader(self):
        plane = self.plane()
        leader = plane.leader()
        other = next(name for name in plane.replicas if name != leader)
        plane.kill(leader)
        done = control("put", "key", str(self.value), "--admin", plane.admin(other))
        self.assertEqual((done.returncode, done.stderr), (0, ""))

    def test_without_a_majority_a_write_is_refused_or_unknown_and_says_so(self):
        plane = self.plane()
        left = plane.leader()
        for name in [name for name in plane.replicas if name != left]:
            plane.kill(name)
        put = ("put", "key", str(self.value))
        done = control(*put, "--within", "3", "--admin", plane.admin(left))
        self.assertIn(done.returncode, (1, 3))
        self.assertRegex(done.stderr, "^key: (refused, nothing is written|unknown whether it is written): ")
        status = control("status", "--admin", plane.admin(left)).stdout
        self.assertRegex(status, "NO LEADER KNOWN|WITHOUT A MAJORITY")
        self.assertEqual(plane.ask(left, "/ready")[0], 503)

    def test_a_replica_ends_on_sigterm_and_goes_on_with_what_it_kept(self):
        plane = self.plane(replicas=1, controllers=1)
        done = control("put", "key", str(self.value), "--admin", plane.admin("k1"))
        self.assertEqual(done.returncode, 0, done.stderr)
        plane.wait(lambda: plane.ask("c1", "/control/key?key=key")[0] == 200, "in force at the controller")
        program = plane.running.pop("k1")
        program.ask_to_end()
        self.assertEqual(program.ended(), 0)
        plane.up("k1")
        plane.wait(plane.leader, "it leads again")
        done = control("get", "key", "--admin", plane.admin("k1"))
        self.assertEqual((done.returncode, done.stdout), (0, "1"))


class Off(unittest.TestCase):
    def test_without_control_nothing_of_it_is_imported(self):
        for modules in (
            "embertray.cli.main, embertray.service.daemon.service, embertray.service.admin.http",
            "embertray.platform.run.service",
            "embertray.benchlink.batches",
        ):
            code = (
                f"import sys; import {modules}; print([name for name in sys.modules "
                "if name.startswith(('embertray.cluster.replication', 'embertray.service.daemon.control'))])"
            )
            done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT)
            self.assertEqual((done.stdout, done.stderr), ("[]\n", ""))

    def test_a_controller_of_a_site_without_control_has_none(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        plane = ControlPlane(folder.name, replicas=0, controllers=1)
        self.addCleanup(plane.end)
        plane.up("c1")
        plane.wait(lambda: plane.ask("c1", "/live")[0] == 200, "it lives")
        code, body = plane.ask("c1")
        self.assertEqual((code, body), (404, b"no control plane: the site has no <control>\n"))
        self.assertNotIn(b"embertray_control_", plane.ask("c1", "/metrics")[1])


if __name__ == "__main__":
    unittest.main()

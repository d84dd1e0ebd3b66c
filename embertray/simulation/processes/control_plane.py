"""A control plane of processes on loopback: replicas, controllers that subscribe to them, and links."""

import json
import shutil
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path

from lxml import etree

from embertray.service.site.schema import SITE_FOLDER as SITES

from .control_links import ControlLinks
from .ports import free_ports
from .program import Program, embertray_command
from .site_description import write_site_description

SAMPLE = SITES / "samples" / "pushed.xml"
REGIONS = ("east", "west", "south")
WAIT_TIMEOUT_S = 60
POLL_INTERVAL_S = 0.02


class ControlPlane:
    """The replica processes k1 to kN and controller processes c1 to cM.

    Args:
        folder: where site descriptions, logs and stored states are written.
        replicas: number of replicas.
        controllers: number of controllers.
        scale: None runs `embertray` itself, a number runs control_process.py with its times scaled by it.
        rate: bytes per second of a subscriber, in the form of the site description.
    """

    def __init__(self, folder, replicas=3, controllers=0, scale=None, rate="4000B"):
        self.folder = Path(folder)
        self.scale = scale
        self.rate = rate
        self.links = None
        self.replicas = [f"k{n + 1}" for n in range(replicas)]
        self.controllers = [f"c{n + 1}" for n in range(controllers)]
        ports = iter(free_ports(3 * (replicas + controllers)))
        self.ports = {name: [next(ports) for _ in range(3)] for name in self.replicas + self.controllers}
        self.running = {}
        self.stopped = set()
        self.programs = {}  # name -> Python arguments that run in place of control_process.py

    # ---- descriptions

    def add_links(self, seed=1):
        """Puts ControlLinks between processes started from now on; the caller runs the returned links."""
        self.links = ControlLinks(self.replicas, self.controllers, self._true_port, seed)
        return self.links

    def _true_port(self, name, other):
        return self.ports[other][0 if name in self.replicas else 2]

    def region(self, name):
        """Returns the region of a process; regions are assigned in turn."""
        return REGIONS[(int(name[1:]) - 1) % len(REGIONS)]

    def admin(self, name):
        """Returns the address of a process's admin pages."""
        return f"127.0.0.1:{self.ports[name][1]}"

    def address(self, name, other):
        """Returns the address at which `name` reaches the replica `other`."""
        linked = self.links is not None and name != other
        port = self.links.port(name, other) if linked else self._true_port(name, other)
        return f"127.0.0.1:{port}"

    def write_description(self, name):
        """Writes the site description for one process, with its links as addresses; returns the path."""
        rows = [
            (other, "north", f"127.0.0.1:{self.ports[other][0]}", self.admin(other), None)
            for other in self.controllers
        ]
        # a site needs at least one controller
        rows = rows or [("c0", "north", "127.0.0.1:0", "127.0.0.1:0", None)]
        path = write_site_description(SAMPLE, self.folder / f"{name}.xml", rows, "127.0.0.1:1")
        if not self.replicas:
            return path
        tree = etree.parse(str(path))
        root = tree.getroot()
        attributes = {"keep": str(self.folder / "held"), "bytes-per-second": self.rate}
        control = etree.Element("control", attributes)
        for other in self.replicas:
            if name in self.replicas:
                address = self.address(name, other)
                listen = f"127.0.0.1:{self.ports[other][2]}"
            else:
                address = f"127.0.0.1:{self.ports[other][0]}"
                listen = self.address(name, other)
            keep = str(self.folder / "kept" / other)
            attributes = {"address": address, "listen": listen, "admin": self.admin(other), "keep": keep}
            etree.SubElement(control, "replica", name=other, region=self.region(other), **attributes)
        root.find("controllers").addprevious(control)
        for element in root.find("controllers"):
            element.set("region", self.region(element.get("name")))
        tree.write(str(path))
        return path

    # ---- processes

    def up(self, name):
        """Starts a process."""
        log = self.folder / f"{name}.log"
        path = str(self.write_description(name))
        self.running[name] = Program(log, None, name, command=self._command(name, path))

    def _command(self, name, path):
        replica = name in self.replicas
        if self.scale is not None:
            program = self.programs.get(name, ["-m", "embertray.simulation.processes.control_process"])
            role = "replica" if replica else "subscriber"
            return [sys.executable, *program, path, role, name, "--scale", str(self.scale)]
        if replica:
            return embertray_command("control", "serve", path, "--replica", name, level="debug")
        return embertray_command("serve", path, "--controller", name, level="debug")

    def all_up(self):
        """Starts all processes."""
        for name in self.ports:
            self.up(name)

    def kill(self, name):
        """Kills a process (SIGKILL)."""
        self.running.pop(name).kill()

    def pause(self, name):
        """Suspends a process (SIGSTOP) until `resume`."""
        self.running[name].pause()
        self.stopped.add(name)

    def resume(self, name):
        """Resumes a suspended process (SIGCONT)."""
        self.stopped.discard(name)
        self.running[name].resume()

    def delete_stored_state(self, name):
        """Deletes the files of a replica that does not run."""
        shutil.rmtree(self.folder / "kept" / name, ignore_errors=True)

    @property
    def active_names(self):
        """Names of the processes that run and are not suspended."""
        return [name for name in list(self.running) if name not in self.stopped]

    def end(self):
        """Kills the processes that still run."""
        for program in self.running.values():
            program.kill()
        self.running.clear()

    # ---- status and logs

    def get_page(self, name, page="/control"):
        """Returns (HTTP status, body) of an admin page, or (None, b"") without an answer."""
        try:
            with urllib.request.urlopen(f"http://{self.admin(name)}{page}", timeout=5) as answer:
                return answer.status, answer.read()
        except urllib.error.HTTPError as wrong:
            return wrong.code, wrong.read()
        except OSError:
            return None, b""

    def status(self, name):
        """Returns a process's control-plane status as a dict, or None if it has none."""
        code, body = self.get_page(name)
        return json.loads(body) if code == 200 else None

    def knows_age(self, name):
        """Whether a process answers, and knows the age of its entries."""
        status = self.status(name)
        return status is not None and status["age_s"] is not None

    def is_voter(self, name):
        """Whether a replica answers and counts in majorities, which a recovering one does not."""
        status = self.status(name)
        return status is not None and not status["recovering"]

    def leader(self):
        """Returns the name of the leader that has a majority, or None."""
        for name in self.replicas:
            status = self.status(name) if name in self.active_names else None
            if status and status["has_majority"]:
                return name
        return None

    def wait(self, condition, what, timeout_s=WAIT_TIMEOUT_S):
        """Waits until `condition()` is true, and returns its value.

        Raises:
            AssertionError: it is not true within `timeout_s`, or a process has ended.
        """
        started_at = time.monotonic()
        while time.monotonic() < started_at + timeout_s:
            ended = [name for name, program in self.running.items() if program.has_ended]
            if ended:
                log = (self.folder / f"{ended[0]}.log").read_text()[-400:]
                raise AssertionError(f"{ended[0]} has ended: {log}")
            if found := condition():
                return found
            time.sleep(POLL_INTERVAL_S)
        raise AssertionError(
            f"not within {timeout_s} s: {what}; {[self.status(name) for name in self.active_names]}"
        )

    def log_rows(self, name):
        """Returns the log rows of a process and its former incarnations, as dicts."""
        path = self.folder / f"{name}.log"
        text = path.read_text() if path.exists() else ""
        return [json.loads(line) for line in text.split("\n")[:-1] if line.startswith("{")]

    def applied(self, name):
        """Returns (key, revision, digest or None) of each entry that a controller's incarnations applied."""
        rows = [row for row in self.log_rows(name) if row["event"] == "applied"]
        return [(row["key"], row["revision"], row["digest"]) for row in rows]

"""A control plane of true processes on loopback: replicas, controllers that follow them, links between."""

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
WAIT_TIMEOUT_S = 60  # s that a wait takes before it fails
POLL_INTERVAL_S = 0.02  # s between two looks; what is looked at decides


class ControlPlane:
    """Replicas k1 to kN and controllers c1 to cM, each started and ended by its name.

    Args:
        folder: where descriptions, logs and saved states stand.
        replicas: how many.
        controllers: how many.
        scale: None runs the program itself, a number the processes of control_process.py at that scale.
        rate: the bytes a second of a subscriber, as in a description.
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
        self.programs = {}  # name -> what runs in place of control_process.py

    # ---- descriptions

    def add_links(self, seed=1):
        """The ControlLinks that lie between all processes from now on; they have to run."""
        self.links = ControlLinks(self.replicas, self.controllers, self._true_port, seed)
        return self.links

    def _true_port(self, name, other):
        return self.ports[other][0 if name in self.replicas else 2]

    def region(self, name):
        """Replicas and controllers are dealt out to the regions in turn."""
        return REGIONS[(int(name[1:]) - 1) % len(REGIONS)]

    def admin(self, name):
        """Where operators reach a process."""
        return f"127.0.0.1:{self.ports[name][1]}"

    def address(self, name, other):
        """Where `name` reaches the replica `other`."""
        linked = self.links is not None and name != other
        port = self.links.port(name, other) if linked else self._true_port(name, other)
        return f"127.0.0.1:{port}"

    def write_description(self, name):
        """The site's file as this process is to know it."""
        rows = [
            (one, "north", f"127.0.0.1:{self.ports[one][0]}", self.admin(one), None)
            for one in self.controllers
        ]
        rows = rows or [("c0", "north", "127.0.0.1:0", "127.0.0.1:0", None)]  # a site has one at the least
        path = write_site_description(SAMPLE, self.folder / f"{name}.xml", rows, "127.0.0.1:1")
        if not self.replicas:
            return path
        tree = etree.parse(str(path))
        root = tree.getroot()
        attributes = {"keep": str(self.folder / "held"), "bytes-per-second": self.rate}
        control = etree.Element("control", attributes)
        for one in self.replicas:
            if name in self.replicas:
                address = self.address(name, one)
                listen = f"127.0.0.1:{self.ports[one][2]}"
            else:
                address = f"127.0.0.1:{self.ports[one][0]}"
                listen = self.address(name, one)
            keep = str(self.folder / "kept" / one)
            attributes = {"address": address, "listen": listen, "admin": self.admin(one), "keep": keep}
            etree.SubElement(control, "replica", name=one, region=self.region(one), **attributes)
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
        """Starts all."""
        for name in self.ports:
            self.up(name)

    def kill(self, name):
        """Ends a process at once (SIGKILL)."""
        self.running.pop(name).kill()

    def pause(self, name):
        """It stands still (SIGSTOP) until `go_on`."""
        self.running[name].pause()
        self.stopped.add(name)

    def resume(self, name):
        """It goes on (SIGCONT) as if no time had passed."""
        self.stopped.discard(name)
        self.running[name].resume()

    def delete_stored_state(self, name):
        """What a replica that does not run has on disk is gone."""
        shutil.rmtree(self.folder / "kept" / name, ignore_errors=True)

    @property
    def active_names(self):
        """Names of processes that can answer."""
        return [name for name in list(self.running) if name not in self.stopped]

    def end(self):
        """Ends all that still run."""
        for program in self.running.values():
            program.kill()
        self.running.clear()

    # ---- what they say

    def get_page(self, name, page="/control"):
        """(status, body), or (None, b"") if it does not answer."""
        try:
            with urllib.request.urlopen(f"http://{self.admin(name)}{page}", timeout=5) as answer:
                return answer.status, answer.read()
        except urllib.error.HTTPError as wrong:
            return wrong.code, wrong.read()
        except OSError:
            return None, b""

    def status(self, name):
        """A process's status of the control plane as a dict, or None."""
        code, body = self.get_page(name)
        return json.loads(body) if code == 200 else None

    def knows_age(self, name):
        """Whether a process answers, and can say how old what it holds is."""
        status = self.status(name)
        return status is not None and status["age_s"] is not None

    def is_voter(self, name):
        """Whether a replica answers, and counts in majorities: it does not recover."""
        status = self.status(name)
        return status is not None and not status["recovering"]

    def leader(self):
        """The name of the replica that leads with a majority, or None."""
        for name in self.replicas:
            status = self.status(name) if name in self.active_names else None
            if status and status["has_majority"]:
                return name
        return None

    def wait(self, condition, what, timeout_s=WAIT_TIMEOUT_S):
        """What `wanted()` gives, once that is true.

        Raises:
            AssertionError: it is not within `most` s, or a process has ended.
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
        """What a process logged in all its lives, as dicts."""
        path = self.folder / f"{name}.log"
        text = path.read_text() if path.exists() else ""
        return [json.loads(line) for line in text.split("\n")[:-1] if line.startswith("{")]

    def applied(self, name):
        """(key, revision, digest of the value or None) of all that a controller applied, in all its lives."""
        rows = [row for row in self.log_rows(name) if row["event"] == "applied"]
        return [(row["key"], row["revision"], row["digest"]) for row in rows]

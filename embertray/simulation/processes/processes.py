"""True processes of the program that form a cluster: started, asked, stopped, killed, ended by id; with the
rig's links between them.
"""

import json
import time
import urllib.error
import urllib.request
from pathlib import Path

from lxml import etree

from embertray.service.site.schema import SITE_FOLDER as SITES

from .described import describe
from .ports import free_ports
from .program import Program
from .ways import Ways

SAMPLE = SITES / "samples" / "pushed.xml"
PERIOD = 200  # ms; a fifth of the default, so that a case takes seconds
MOST = 30  # s that a wait takes before it fails


class Members:
    """Controllers c1 to cN of one site as processes of the program, with a cluster; no inventory answers,
    none is needed. Each wait is on what a process says of itself or of the others, with a limit."""

    def __init__(self, folder, count, clustered=True):
        self.folder, self.names, self.running = Path(folder), [f"c{n + 1}" for n in range(count)], {}
        ports = free_ports(3 * count)
        self.path = self.describe(
            "site", {name: ports[3 * n : 3 * n + 3] for n, name in enumerate(self.names)}, clustered
        )
        self.admin = {name: f"127.0.0.1:{ports[3 * n + 1]}" for n, name in enumerate(self.names)}

    def describe(self, file, ports, clustered=True):
        rows = [
            (
                name,
                "north",
                *(f"127.0.0.1:{port}" for port in three[:2]),
                f"127.0.0.1:{three[2]}" if clustered else None,
            )
            for name, three in ports.items()
        ]
        return describe(
            SAMPLE,
            self.folder / f"{file}.xml",
            rows,
            "127.0.0.1:1",
            period=f"{PERIOD}ms" if clustered else None,
        )

    def up(self, name, path=None, key=None):
        self.running[key or name] = Program(self.folder / f"{key or name}.log", path or self.path, name)

    def ask(self, name, page="/cluster"):
        try:
            with urllib.request.urlopen(f"http://{self.admin[name]}{page}", timeout=5) as answer:
                return answer.read()
        except urllib.error.HTTPError as wrong:
            return wrong.read()
        except OSError:
            return None

    def status(self, name):
        said = self.ask(name)
        return json.loads(said) if said and said.startswith(b"{") else None

    def states(self, name):
        told = self.status(name)
        return told and {m["name"]: m["state"] for m in told["members"]}

    def wait(self, wanted, what, most=MOST):
        """s until it holds."""
        began = time.monotonic()
        while time.monotonic() < began + most:
            ended = [name for name, program in self.running.items() if program.over]
            if ended:
                raise AssertionError(
                    f"{ended[0]} has ended: " + (self.folder / f"{ended[0]}.log").read_text()[-300:]
                )
            if wanted():
                return time.monotonic() - began
            time.sleep(0.02)  # between two looks; what is looked at decides
        raise AssertionError(
            f"not within {most} s: {what}; " + "; ".join(f"{n}: {self.states(n)}" for n in self.names)
        )

    def all_see(self, **states):
        """Whether each running process takes each named member for so; itself left out."""
        for name in [n for n in self.names if n in self.running]:
            seen = self.states(name)
            if seen is None or any(
                seen.get(other) != state for other, state in states.items() if other != name
            ):
                return False
        return True

    def ages(self):
        """How old what each running process holds of each living other is, s; None: nothing is held."""
        return [
            m["told_s"]
            for n in self.running
            if n in self.names
            for m in (self.status(n) or {"members": []})["members"]
            if m["state"] == "alive"
        ]

    def bound(self):
        """s: the stated bound, and a second until an owner tells its facts anew."""
        return self.status(next(n for n in self.names if n in self.running))["bound_s"] + 1

    def fresh(self):
        ages, bound = self.ages(), self.bound()
        return bool(ages) and all(age is not None and age <= bound for age in ages)

    def oldest(self, looks=20):
        """Looks again and again: (the greatest age at any of them, the bound), s. Something not held counts
        as without end.
        """
        bound = self.bound()
        return max(
            (age if age is not None else float("inf") for _ in range(looks) for age in self.ages()),
            default=0.0,
        ), bound

    def stop(self, name):
        """It stands still until `go_on`, and is not asked meanwhile."""
        self.running["stopped"] = self.running.pop(name)
        self.running["stopped"].stop()

    def go_on(self, name):
        self.running[name] = self.running.pop("stopped")
        self.running[name].go_on()

    def kill(self, name):
        self.running.pop(name).kill()

    def end(self):
        for program in self.running.values():
            program.ask_to_end()
        for program in self.running.values():
            program.ended()


class Rigged(Members):
    """As Members; each process is told of the others by its own links to them."""

    def __init__(self, folder, count, seed=1):
        super().__init__(folder, count)
        root = etree.parse(str(self.path)).getroot()
        ports = {
            e.get("name"): [int(e.get(k).rpartition(":")[2]) for k in ("listen", "admin", "cluster")]
            for e in root.find("controllers")
        }
        self.ways = Ways({name: three[2] for name, three in ports.items()}, seed)
        self.files = {
            name: self.describe(
                name,
                {
                    other: three[:2] + [three[2] if other == name else self.ways.port(name, other)]
                    for other, three in ports.items()
                },
            )
            for name in self.names
        }

    def up(self, name, path=None, key=None):
        super().up(name, path or self.files[name], key)

    def wounds(self):
        """Members that a running process takes for suspect or dead."""
        return {
            (n, other): state
            for n in self.running
            for other, state in (self.states(n) or {}).items()
            if state != "alive"
        }

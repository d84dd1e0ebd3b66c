"""Controller processes that form a cluster, with or without faulty links between them."""

import json
import time
import urllib.error
import urllib.request
from pathlib import Path

from lxml import etree

from embertray.service.site.schema import SITE_FOLDER as SITES

from .cluster_links import ClusterLinks
from .ports import free_ports
from .program import Program
from .site_description import write_site_description

SAMPLE = SITES / "samples" / "pushed.xml"
PROBE_PERIOD_MS = 200  # a fifth of the default, so that a test takes seconds
WAIT_TIMEOUT_S = 30


class ClusterMembers:
    """The controller processes c1 to cN of one site, without an endpoint list.

    Waits poll the status pages of the processes, with a timeout.

    Args:
        folder: where site descriptions and logs are written.
        count: number of controllers.
        clustered: whether they form a cluster.
    """

    def __init__(self, folder, count, clustered=True):
        self.folder = Path(folder)
        self.names = [f"c{n + 1}" for n in range(count)]
        self.running = {}
        ports = free_ports(3 * count)
        self.path = self.write_description(
            "site", {name: ports[3 * n : 3 * n + 3] for n, name in enumerate(self.names)}, clustered
        )
        self.admin = {name: f"127.0.0.1:{ports[3 * n + 1]}" for n, name in enumerate(self.names)}

    def write_description(self, file, ports, clustered=True):
        """Writes a site description and returns its path.

        Args:
            file: name of the file, without its suffix.
            ports: name -> listen, admin and cluster port of each controller.
            clustered: whether the controllers form a cluster.
        """
        rows = [
            (
                name,
                "north",
                *(f"127.0.0.1:{port}" for port in three[:2]),
                f"127.0.0.1:{three[2]}" if clustered else None,
            )
            for name, three in ports.items()
        ]
        return write_site_description(
            SAMPLE,
            self.folder / f"{file}.xml",
            rows,
            "127.0.0.1:1",
            period=f"{PROBE_PERIOD_MS}ms" if clustered else None,
        )

    def up(self, name, path=None, key=None):
        """Starts a process; `key`: key in `running` and name of its log, if not the controller's name."""
        self.running[key or name] = Program(self.folder / f"{key or name}.log", path or self.path, name)

    def get_page(self, name, page="/cluster"):
        """Returns the body of an admin page, or None if the process does not answer."""
        try:
            with urllib.request.urlopen(f"http://{self.admin[name]}{page}", timeout=5) as answer:
                return answer.read()
        except urllib.error.HTTPError as wrong:
            return wrong.read()
        except OSError:
            return None

    def status(self, name):
        """Returns a process's cluster status as a dict, or None if it has none."""
        body = self.get_page(name)
        return json.loads(body) if body and body.startswith(b"{") else None

    def states(self, name):
        """Returns member -> state as a process sees the others, or None if it does not answer."""
        status = self.status(name)
        return status and {m["name"]: m["state"] for m in status["members"]}

    def wait(self, condition, what, timeout_s=WAIT_TIMEOUT_S):
        """Waits until `condition()` holds, and returns the seconds that this took.

        Raises:
            AssertionError: it does not hold within `timeout_s`, or a process has ended.
        """
        started_at = time.monotonic()
        while time.monotonic() < started_at + timeout_s:
            ended = [name for name, program in self.running.items() if program.has_ended]
            if ended:
                raise AssertionError(
                    f"{ended[0]} has ended: " + (self.folder / f"{ended[0]}.log").read_text()[-300:]
                )
            if condition():
                return time.monotonic() - started_at
            time.sleep(0.02)  # between two polls of the condition
        raise AssertionError(
            f"not within {timeout_s} s: {what}; " + "; ".join(f"{n}: {self.states(n)}" for n in self.names)
        )

    def all_report(self, **states):
        """Whether every running process reports these states of the other members."""
        for name in [n for n in self.names if n in self.running]:
            seen = self.states(name)
            if seen is None or any(
                seen.get(other) != state for other, state in states.items() if other != name
            ):
                return False
        return True

    def entry_ages(self):
        """Returns the age in s of each running process's entry of each alive member; None: no entry."""
        return [
            m["told_s"]
            for n in self.running
            if n in self.names
            for m in (self.status(n) or {"members": []})["members"]
            if m["state"] == "alive"
        ]

    def staleness_bound(self):
        """Returns the reported staleness bound plus the second until an owner publishes again, s."""
        return self.status(next(n for n in self.names if n in self.running))["bound_s"] + 1

    def all_within_bound(self):
        """Whether every running process has an entry within the staleness bound of each alive member."""
        entry_ages = self.entry_ages()
        staleness_bound = self.staleness_bound()
        return bool(entry_ages) and all(age is not None and age <= staleness_bound for age in entry_ages)

    def max_entry_age(self, polls=20):
        """Polls the entry ages `polls` times; returns the greatest age and the staleness bound, s.

        A missing entry counts as infinitely old.
        """
        staleness_bound = self.staleness_bound()
        return max(
            (age if age is not None else float("inf") for _ in range(polls) for age in self.entry_ages()),
            default=0.0,
        ), staleness_bound

    def pause(self, name):
        """Suspends a process (SIGSTOP) until `resume`; it is not polled meanwhile."""
        self.running["stopped"] = self.running.pop(name)
        self.running["stopped"].pause()

    def resume(self, name):
        """Resumes a suspended process (SIGCONT)."""
        self.running[name] = self.running.pop("stopped")
        self.running[name].resume()

    def kill(self, name):
        """Kills a process (SIGKILL)."""
        self.running.pop(name).kill()

    def end(self):
        """Terminates the processes that still run, and waits until they have ended."""
        for program in self.running.values():
            program.terminate()
        for program in self.running.values():
            program.wait_ended()


class LinkedClusterMembers(ClusterMembers):
    """ClusterMembers whose processes reach each other through ClusterLinks only.

    Args:
        folder: where site descriptions and logs are written.
        count: number of controllers.
        seed: seed of the links' random faults.
    """

    def __init__(self, folder, count, seed=1):
        super().__init__(folder, count)
        root = etree.parse(str(self.path)).getroot()
        ports = {
            e.get("name"): [int(e.get(k).rpartition(":")[2]) for k in ("listen", "admin", "cluster")]
            for e in root.find("controllers")
        }
        self.links = ClusterLinks({name: three[2] for name, three in ports.items()}, seed)
        self.files = {
            name: self.write_description(
                name,
                {
                    other: three[:2] + [three[2] if other == name else self.links.port(name, other)]
                    for other, three in ports.items()
                },
            )
            for name in self.names
        }

    def up(self, name, path=None, key=None):
        """Starts a process with the description that holds its links, as ClusterMembers.up."""
        super().up(name, path or self.files[name], key)

    def failed_members(self):
        """Returns (process, member) -> state for each member that a process does not report as alive."""
        return {
            (n, other): state
            for n in self.running
            for other, state in (self.states(n) or {}).items()
            if state != "alive"
        }

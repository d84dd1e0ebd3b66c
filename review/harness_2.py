"""What the cases 6 to 10 share: processes of the project on loopback, a record, HTTP calls, exit codes.

Standard library only. Every process starts in a session of its own and is ended by its process group; a case
works in a temporary folder and leaves nothing behind but its record.txt.
"""

import contextlib
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PYTHON = str(ROOT / ".venv" / "bin" / "python")
KEPT, BROKEN, NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not run: neither kept nor broken."""


class Case:
    """One run of a case: its folder, its record, its processes and its deadline.

    Attributes:
        trouble: whether the disruption happens (TROUBLE=0 leaves it out).
        folder: temporary folder.
    """

    def __init__(self, folder, seconds=118):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.began = time.monotonic()
        self.deadline = self.began + seconds
        self.folder = Path(tempfile.mkdtemp(prefix="embertray-review-"))
        self.processes = {}
        self._lock = threading.Lock()
        self._record = open(Path(folder) / "record.txt", "w", encoding="utf-8", buffering=1)
        self.note("case", folder=Path(folder).name, trouble=self.trouble)

    # ---- record

    def note(self, what, **fields):
        """Writes one line: seconds since the begin, what, and fields."""
        line = f"{time.monotonic() - self.began:8.3f} {what}"
        line += "".join(f" {name}={value}" for name, value in fields.items())
        with self._lock:
            self._record.write(line + "\n")

    # ---- processes

    def start(self, name, *command, **environment):
        """Starts a process of the project under a name, from the root."""
        log = open(self.folder / f"{name}.log", "ab")
        self.processes[name] = subprocess.Popen(
            command,
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            start_new_session=True,
            env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1", **environment},
        )
        log.close()
        self.note("start", process=name)

    def embertray(self, name, *arguments):
        """Starts a command of bin/embertray."""
        self.start(name, str(ROOT / "bin" / "embertray"), *map(str, arguments))

    def send(self, name, number):
        """Sends a signal to the program (not to a group: `run` and `bin/embertray` end by exec)."""
        self.note("signal", process=name, number=signal.Signals(number).name)
        self.processes[name].send_signal(number)

    def end(self, name, number=signal.SIGTERM):
        """Sends a signal and waits for the end."""
        self.send(name, number)
        try:
            self.processes[name].wait(10)
        except subprocess.TimeoutExpired:
            raise CaseError(f"{name} did not end") from None

    def check_running(self):
        """Raises CaseError if a process that was not ended by the case has ended."""
        for name, process in self.processes.items():
            if process.poll() is not None and process.returncode not in (0, -signal.SIGKILL, -signal.SIGTERM):
                raise CaseError(f"{name} ended with {process.returncode}: {self.log_tail(name)}")

    def log_tail(self, name):
        """The end of a process's log, on one line."""
        return (self.folder / f"{name}.log").read_bytes()[-500:].decode("utf-8", "replace").replace("\n", " | ")

    def close(self):
        """Ends all processes and removes the folder."""
        for process in self.processes.values():
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    os.killpg(process.pid, signal.SIGCONT)
                    os.killpg(process.pid, signal.SIGKILL)
        for process in self.processes.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(5)
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()

    # ---- waiting

    def wait_for(self, condition, seconds, what):
        """Waits until condition() is true and returns its value; raises CaseError after `seconds`."""
        value = self.wait_until(condition, seconds)
        if not value:
            raise CaseError(f"not within {seconds} s: {what}")
        return value

    def wait_until(self, condition, seconds):
        """Waits until condition() is true; returns its value, false after `seconds`."""
        end = min(time.monotonic() + seconds, self.deadline)
        while True:
            value = condition()
            if value or time.monotonic() >= end:
                return value
            time.sleep(0.05)


def run_case(folder, play):
    """Runs play(case), which returns a text if the rule was broken, and exits with the case's code."""
    signal.signal(signal.SIGTERM, _give_up)
    signal.signal(signal.SIGALRM, _give_up)
    signal.alarm(119)  # no case runs for longer
    case = Case(folder)
    code = NOT_RUN
    try:
        if broken := play(case):
            code = BROKEN
            case.note("BROKEN", why=broken)
            print(f"broken: {broken}")
        else:
            code = KEPT
            case.note("kept")
            print("kept")
    except Exception as error:  # whatever it is, the case gives no verdict
        case.note("could not run", why=repr(error))
        print(f"could not run: {error!r}")
        for name in case.processes:
            print(f"  {name}: {case.log_tail(name)}")
    finally:
        case.close()
    sys.exit(code)


def _give_up(number, _frame):
    """Ends the case without a verdict; `run_case` still ends its processes."""
    raise CaseError(f"ended by {signal.Signals(number).name}")


# ---- addresses and calls


_drawn = set()  # ports that this process has drawn
PORTS = range(11_000, 31_000)  # below those that the system gives to outgoing connections
PORTS_OF_A_CASE = 200  # scripts that run beside each other draw from ranges of their own, by their process ids


def free_addresses(number):
    """Loopback addresses with free ports that this process has not drawn before."""
    first = PORTS.start + os.getpid() % (len(PORTS) // PORTS_OF_A_CASE) * PORTS_OF_A_CASE
    addresses = []
    while len(addresses) < number:
        port = random.randrange(first, first + PORTS_OF_A_CASE)
        if port in _drawn:
            continue
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        _drawn.add(port)
        addresses.append(f"127.0.0.1:{port}")
    return addresses


def call(address, method, target, body=b"", timeout=8):
    """One HTTP call; returns (status, body), or None where nobody answers."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, target, body)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


def call_json(address, target):
    """The JSON answer to a GET, or None."""
    answer = call(address, "GET", target, timeout=2)
    try:
        return json.loads(answer[1]) if answer else None
    except ValueError:
        return None


# ---- the control plane

SITE = """<?xml version="1.0" encoding="UTF-8"?>
<deployment name="review" tick="5ms">
  <zones><zone name="north"/></zones>
  <request-kinds>
    <kind name="view" response-target="800ms" client-timeout="2s" credit="1" late-credit="0.2" again="replayable"/>
  </request-kinds>
  <proxies expected="12" picks="round" levels="rate" standing="3" base-retry="0" per-try="0.8" bare-limit="400ms"/>
  <channel lines-per-second="1200" lines-waiting="1600" head="4" way-mean="60ms" way-most="250ms"/>
  <reports cycle="1s" lines-per-second="200"/>
  <backends cold-from="0.2" warm-after="12s" fall-multiple="4" fall-after="3s" drain-grace="2500ms"
            full-may-have-run="true" cross-zone-cost="0.01"/>
  <inventory address="{inventory}" mode="push"/>
{control}  <controllers>
    <controller name="c1" zone="north" region="east" listen="{listen}" admin="{admin}"/>
  </controllers>
</deployment>
"""


class ControlPlane:
    """Replicas k1.. and one controller c1 of a site, started by the commands of operate/control.md.

    Attributes:
        admins: name of each replica -> its operators' address.
        controller: operators' address of the controller.
    """

    def __init__(self, case, replicas, budget="", keep=False):
        """`budget`: the attribute bytes-per-second, "" for the default; `keep`: the controller keeps its state."""
        self.case = case
        names = [f"k{number + 1}" for number in range(replicas)]
        ports = free_addresses(3 * replicas + 3)
        self.admins = dict(zip(names, ports[2 * replicas : 3 * replicas]))
        rows = "".join(
            f'    <replica name="{name}" region="east" address="{ports[number]}" listen="{ports[replicas + number]}"'
            f' admin="{self.admins[name]}" keep="{self.folder(name)}"/>\n'
            for number, name in enumerate(names)
        )
        attributes = f' bytes-per-second="{budget}"' * bool(budget) + f' keep="{case.folder}/held"' * keep
        control = f"  <control{attributes}>\n{rows}  </control>\n"
        self.inventory, self.listen, self.controller = ports[-3:]
        self.site = case.folder / "site.xml"
        self.site.write_text(
            SITE.format(inventory=self.inventory, control=control, listen=self.listen, admin=self.controller)
        )

    def folder(self, replica):
        """The folder of a replica's state."""
        return self.case.folder / f"disk-{replica}"

    def start_replica(self, name):
        """Starts a replica."""
        self.case.embertray(name, "--log-format", "json", "control", "serve", self.site, "--replica", name)

    def start_controller(self):
        """Starts the controller."""
        self.case.embertray("c1", "--log-format", "json", "serve", self.site, "--controller", "c1")

    def status(self, address):
        """The status at an operators' address, or {}."""
        return call_json(address, "/control") or {}

    def leader(self):
        """Name of the replica that leads with a majority, or None."""
        for name, admin in self.admins.items():
            status = self.status(admin)
            if status.get("role") == "leader" and status.get("has_majority"):
                return name
        return None

    def wait_for_leader(self, seconds=30):
        """Waits for a leader and returns its name."""
        return self.case.wait_for(self.leader, seconds, "a leader")

    def write(self, method, target, body=b"", seconds=15, quiet=False):
        """Writes at the leader, again under the same request id until committed, as operate/control.md says.

        Returns:
            The revision.

        Raises:
            CaseError: not committed in time, or refused.
        """
        end = time.monotonic() + seconds
        answer = {}
        while time.monotonic() < end:
            address = answer.get("leader") or self.admins.get(self.leader() or "", "")
            reply = call(address, method, target, body) if address else None
            answer = json.loads(reply[1]) if reply else {}
            if answer.get("type") == "committed":
                if not quiet:
                    self.case.note("committed", call=f"{method} {target}", revision=answer["revision"])
                return answer["revision"]
            if answer.get("type") == "refused" and answer["reason"] not in ("NotLeader", "NoMajority", "Overloaded"):
                raise CaseError(f"{method} {target}: {answer}")
            time.sleep(0.2)
        raise CaseError(f"{method} {target}: not committed within {seconds} s: {answer}")

    def put(self, key, value, request, **options):
        """Puts a key; returns the revision."""
        return self.write("PUT", f"/control/key?key={key}&request={request}", value, **options)

    def get(self, address, key):
        """The answer to a read of a key at a replica or controller, or None."""
        return call_json(address, f"/control/key?key={key}")

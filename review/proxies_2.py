"""Plain proxies of docs/protocol.md, and a link that can fall silent; asyncio, and msgspec of the project's .venv.

A proxy dials the controller, applies its orders, answers nonces, reports each cycle, and picks a backend for each
of its requests by its lines. No backend is contacted: every try is answered after a fixed time.
"""

import asyncio
import contextlib
import random
import struct
import subprocess
import time

import msgspec
from harness_2 import ROOT, SITE, CaseError, call, free_addresses

PREFIX = struct.Struct(">I")
SECOND = 10**9
LATENCY_NS = 80_000_000


def frame(message):
    """One message in its frame."""
    data = msgspec.msgpack.encode(message)
    return PREFIX.pack(len(data)) + data


async def read_message(reader):
    """The next message."""
    (size,) = PREFIX.unpack(await reader.readexactly(PREFIX.size))
    return msgspec.msgpack.decode(await reader.readexactly(size))


class Proxy:
    """A proxy with its table.

    Attributes:
        lines: backend -> weight, as applied.
        out: backends that it was told not to send to.
        picked: (time, backend) of each request.
    """

    def __init__(self, case, name, zone, controller, rate):
        self.case, self.name, self.zone, self.controller, self.rate = case, name, zone, controller, rate
        self.lines = {}
        self.out = set()
        self.table = None
        self.fresh = True
        self.picked = []
        self.met = {}
        self.came = 0
        self.writer = None

    async def run(self):
        """Keeps a stream to the controller, and makes requests, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._clients())
            group.create_task(self._reports())
            while True:
                try:
                    await self._stream()
                except (OSError, asyncio.IncompleteReadError) as error:
                    self.case.note("stream ended", proxy=self.name, why=repr(error))
                finally:
                    self.table = self.writer = None
                await asyncio.sleep(random.uniform(0.2, 1))

    async def _stream(self):
        reader, writer = await asyncio.open_connection(*self.controller.split(":"))
        try:
            writer.write(frame(["hello", 1, self.name, self.zone, float(self.rate), self.fresh]))
            while True:
                message = await read_message(reader)
                if message[0] == "welcome":
                    self.writer = writer
                elif message[0] == "orders":
                    for part in message[3]:
                        self._apply(part)
                    self.fresh = False
                    if len(message) > 4 and message[4] is not None:
                        writer.write(frame(["answer", message[4]]))
                else:
                    self.case.note("fault", proxy=self.name, message=message)
                    return
        finally:
            writer.transport.abort()

    def _apply(self, part):
        kind = part[0]
        if kind == "line" and part[1] == self.table:
            self.lines.pop(part[2], None)
            if part[3] > 0:
                self.lines[part[2]] = part[3]
        elif kind == "bind":
            self.table = part[1]
            self.lines = {name: weight for name, weight in part[2] if weight > 0}
            self.out = set(part[4]) if len(part) > 4 else set()
        elif kind == "out":
            (self.out.add if part[2] else self.out.discard)(part[1])
        if kind in ("bind", "line", "out"):
            self.case.note("applied", proxy=self.name, part=part)

    def _pick(self):
        lines = {name: weight for name, weight in self.lines.items() if name not in self.out}
        return random.choices(list(lines), list(lines.values()))[0] if lines else None

    async def _clients(self):
        while True:
            await asyncio.sleep(random.expovariate(self.rate))
            self.came += 1
            if backend := self._pick():
                self.picked.append((time.monotonic(), backend))
                self.met[backend] = self.met.get(backend, 0) + 1

    async def _reports(self):
        while True:
            await asyncio.sleep(1)
            if self.writer:
                met = [[name, tries, 0, tries * LATENCY_NS, {}] for name, tries in self.met.items()]
                self.writer.write(frame(["sums", SECOND, met, [["view", self.came]]]))
            self.met, self.came = {}, 0


class Daemon:
    """A controller of the site in harness_2.py, its inventory (the project's stand-in) and plain proxies.

    Attributes:
        backends: names of the listed backends; nobody listens there, as no proxy contacts them.
        listen, admin: the controller's addresses.
        proxies: the Proxy objects, once `begin` has started them.
    """

    def __init__(self, case, backends=3):
        self.case = case
        *self.backends, self.inventory, self.listen, self.admin = free_addresses(backends + 3)
        self.proxies = []
        self.tasks = []

    async def start_inventory(self):
        """Starts the inventory with all backends ready."""
        listed = [f"{name}=north" for name in self.backends]
        self._list = subprocess.Popen(
            [str(ROOT / "bin" / "embertray"), "stand-in", "inventory", *listed, "--listen", self.inventory],
            cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, start_new_session=True,
        )
        self.case.processes["inventory"] = self._list
        (self.case.folder / "inventory.log").touch()
        await asyncio.to_thread(self._list.stdout.readline)

    def change(self, backend, state):
        """Changes a backend's state on the inventory's list."""
        self._list.stdin.write(f"{backend} north {state}\n".encode())
        self._list.stdin.flush()
        self.case.note("list", backend=backend, state=state)

    def start_controller(self, inventory="", descriptors=None):
        """Starts the controller.

        Args:
            inventory: address of the inventory, "" for its own.
            descriptors: limit of the process's open files; None: as it is.
        """
        site = self.case.folder / "site.xml"
        site.write_text(
            SITE.format(inventory=inventory or self.inventory, control="", listen=self.listen, admin=self.admin)
        )
        limit = f"ulimit -n {descriptors}; " if descriptors else ""
        command = f'{limit}exec "$0" --log-format json serve "$1" --controller c1'
        self.case.start("c1", "/bin/sh", "-c", command, str(ROOT / "bin" / "embertray"), str(site))

    async def begin(self, proxies, rate):
        """Waits until the controller is ready, starts the proxies, and waits until they have all backends."""
        await self.wait_for(lambda: (call(self.admin, "GET", "/ready", timeout=2) or [0])[0] == 200, "it is ready")
        self.proxies = [Proxy(self.case, f"p{number + 1}", "north", self.listen, rate) for number in range(proxies)]
        self.tasks = [asyncio.create_task(proxy.run()) for proxy in self.proxies]
        await self.wait_for(
            lambda: all(len(proxy.lines) == len(self.backends) for proxy in self.proxies), "the proxies are bound"
        )

    async def wait_for(self, condition, what):
        """Waits until a condition, which may block, is true; raises CaseError after 20 s."""
        for _ in range(200):
            if await asyncio.to_thread(condition):
                return
            await asyncio.sleep(0.1)
        raise CaseError(f"not within 20 s: {what}")

    async def stop(self):
        """Ends the proxies."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Link:
    """Passes connections on to an address; one that is cut off stays open and silent, as its peer has vanished."""

    def __init__(self, case, target):
        self.case, self.target = case, target
        self.cut_off = set()  # connections that carry nothing any more
        self.open = set()
        self.writers = []
        self.is_back = True

    async def listen(self, address):
        """Listens on an address."""
        self.server = await asyncio.start_server(self._serve, *address.split(":"))

    def cut(self):
        """The machine is gone: open connections stay open and no byte passes, new ones never come up."""
        self.cut_off |= self.open
        self.is_back = False
        self.case.note("link cut off", connections=len(self.cut_off))

    def come_back(self):
        """The machine is back: new connections are served, those of before are reset once they carry a byte."""
        self.is_back = True
        self.case.note("link is back")

    async def stop(self):
        """Closes everything."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0.1)

    async def _serve(self, reader, writer):
        self.writers.append(writer)
        while not self.is_back:  # the nearest to a connection that never comes up: it is silent until the end
            await asyncio.sleep(0.1)
        far_reader, far_writer = await asyncio.open_connection(*self.target.split(":"))
        self.writers.append(far_writer)
        key = object()
        self.open.add(key)
        self.case.note("link opened", connections=len(self.open))
        ways = [
            asyncio.create_task(self._pass(key, reader, far_writer, reset=writer)),
            asyncio.create_task(self._pass(key, far_reader, writer)),
        ]
        await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        while key in self.cut_off and not ways[0].done():
            await asyncio.sleep(0.1)  # a vanished peer closes nothing; the near side may
        for way in ways:
            way.cancel()
        self.open.discard(key)
        writer.transport.abort()
        far_writer.transport.abort()

    async def _pass(self, key, reader, writer, reset=None):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                if key not in self.cut_off:
                    writer.write(data)
                elif reset and self.is_back:
                    # the machine is back and knows no such connection: whoever sends on it is reset
                    self.case.note("reset: bytes on a connection of before", bytes=len(data))
                    reset.transport.abort()
                    return

"""Stand-ins of the operators' platform for one controller, in one process on loopback.

Discovery, the relay with its channel, proxies, backends and the collectors, as PROTOCOL.md words them. The proxies
are plain: they follow the orders that have reached them and judge nothing. Every request goes over a socket to its
backend, which records it. All times are of the monotonic clock, in seconds.
"""

import asyncio
import bisect
import json
import random
import time
from urllib.parse import parse_qs, urlsplit

now = time.monotonic
SERVICE_S = 0.2  # what a backend takes for a request
CONNECT_TIMEOUT_S, TRY_TIMEOUT_S = 0.25, 2.0


class Backend:
    """A server: answers requests, and notes who sent each and when."""

    def __init__(self, world, name, zone):
        self.world, self.name, self.zone = world, name, zone
        self.phase = "ready"
        self.up_since_ms = 0
        self.server = None
        self.writers = set()
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while line := await reader.readline():
                proxy, sent = line.split()
                self.world.arrived(self, int(proxy), float(sent))
                await asyncio.sleep(SERVICE_S)
                writer.write(b"ok\n")
        except (OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def end(self):
        """The process ends: its connections break, and its port refuses from now on."""
        if self.server:
            self.server.close()
            self.server = None
            for writer in list(self.writers):
                writer.close()

    def entry(self):
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": self.zone,
            "flavor": "std-3c",
            "cell": 0,
            "phase": self.phase,
            "size": 1.0,
            "up_since_ms": self.up_since_ms,
        }


class Discovery:
    """The whole list, and watches; `told` has when each version was written to the controller."""

    def __init__(self, world):
        self.world = world
        self.revision = 1
        self.changed_at_revision = {}  # backend name -> revision of its last change
        self.told = {}  # (backend name, phase) -> time at which it was written to the controller
        self.changed = asyncio.Event()

    def change(self, backend):
        self.revision += 1
        self.changed_at_revision[backend.name] = self.revision
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                parts = urlsplit(head.split()[1].decode())
                query = parse_qs(parts.query)
                start = int(query["from"][0]) if "from" in query else None
                if start is not None and start >= self.revision:
                    try:
                        await asyncio.wait_for(self.changed.wait(), int(query["hold_ms"][0]) / 1000)
                    except asyncio.TimeoutError:
                        pass
                backends = list(self.world.backends.values())
                if start is None:
                    shown = [one for one in backends if one.phase != "gone"]
                else:
                    shown = [one for one in backends if self.changed_at_revision.get(one.name, 0) > start]
                body = json.dumps(
                    {"revision": self.revision, "complete": start is None, "members": [one.entry() for one in shown]}
                ).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                for one in shown:
                    if (one.name, one.phase) not in self.told:
                        self.told[one.name, one.phase] = now()
                        self.world.log("told", backend=one.name, phase=one.phase, revision=self.revision)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Proxy:
    """A plain proxy: its table, and the messages on their way to it."""

    def __init__(self, world, number, zone, standing):
        self.world, self.number, self.zone = world, number, zone
        self.lines = dict.fromkeys(standing, 1.0)
        self.out = set()
        self.table = None  # number of the table that it is bound to
        self.retries = True  # base-mode 1: one further try after proof that the first never ran
        self.last_arrival = 0.0
        self.turns = {}  # backend -> its place in the round
        self.idle = {}  # backend -> idle connections
        self.written = []  # when the relay wrote messages to it

    def pick(self, but=None):
        """Evenly by weight: smooth weighted round robin over the lines that are not out, and not `but`."""
        usable = [
            (name, weight)
            for name, weight in self.lines.items()
            if weight > 0 and name not in self.out and name != but
        ]
        if not usable:
            return None
        total = sum(weight for _, weight in usable)
        for name, weight in usable:
            self.turns[name] = self.turns.get(name, self.world.rng.random() * weight) + weight
        best = max(usable, key=lambda line: self.turns[line[0]])[0]
        self.turns[best] -= total
        return best


class Relay:
    """Takes the controller's calls, and carries them to the proxies as messages through a paced channel."""

    def __init__(self, world):
        self.world = world
        self.tables = {}  # number -> {backend: weight}
        self.bound = {}  # proxy number -> table number, as ordered
        self.out = set()
        self.streams = set()
        self.free_at = 0.0  # when the channel has sent all that waits
        self.calls = 0
        self.unknown = []

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            if head.startswith("GET /api/stream"):
                await self.serve_stream(reader, writer)
                return
            length = int(next(line.split(":")[1] for line in head.split("\r\n") if line.lower().startswith("content-length")))
            form = parse_qs((await reader.readexactly(length)).decode())
            count = self.carry_out(form["orders"][0].split(";"))
            body = f'<?xml version="1.0"?><Response><items><item><ok_count>{count}</ok_count></item></items></Response>'.encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/xml\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()
            await reader.read(1)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def serve_stream(self, reader, writer):
        queue = asyncio.Queue()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        for proxy in self.world.proxies:
            cold = int(proxy.table is None)
            queue.put_nowait(f"event: attach\ndata: node={proxy.number}&locality={proxy.zone}&w={self.world.rate}&cold={cold}\n\n")
        self.streams.add(queue)
        try:
            while True:
                try:
                    text = await asyncio.wait_for(queue.get(), 1)
                except asyncio.TimeoutError:
                    text = ":\n\n"
                while not queue.empty():
                    text += queue.get_nowait()
                data = text.encode()
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
        finally:
            self.streams.discard(queue)

    def event(self, text):
        for queue in self.streams:
            queue.put_nowait(text)

    def carry_out(self, orders):
        """Takes the orders in order until one can't be used; makes one message a proxy of them."""
        self.calls += 1
        self.world.log("call", orders=len(orders), first=";".join(orders[:4])[:120], last=orders[-1])
        messages = {}  # proxy number -> list of operations
        nonce = None
        count = 0

        def add(number, *operation):
            messages.setdefault(number, []).append(operation)

        for order in orders:
            verb, *rest = order.split(",")
            if verb == "SET" and rest[1] in self.world.backends:
                table, backend, weight = int(rest[0]), rest[1], float(rest[2])
                lines = self.tables.setdefault(table, {})
                if weight > 0:
                    lines[backend] = weight
                else:
                    lines.pop(backend, None)
                for number, held in self.bound.items():
                    if held == table:
                        add(number, "set", backend, weight)
            elif verb == "USE":
                number, table = int(rest[0]), int(rest[1])
                self.bound[number] = table
                add(number, "bind", table, dict(self.tables.get(table, {})), set(self.out))
            elif verb in ("OUT", "IN"):
                (self.out.add if verb == "OUT" else self.out.discard)(rest[0])
                for proxy in self.world.proxies:
                    add(proxy.number, verb, rest[0])
            elif verb == "LIMIT":
                for number, held in self.bound.items():
                    if held == int(rest[0]):
                        add(number, "level", rest[1], int(rest[3]))
            elif verb == "SYNC":
                nonce = int(rest[0])
                if rest[1] == "1":
                    for proxy in self.world.proxies:
                        messages.setdefault(proxy.number, [])
            else:
                self.unknown.append(order)
                break
            count += 1
        self.send(messages, nonce)
        return count

    def send(self, messages, nonce):
        """The channel: messages leave one by one at the pace, and arrive some time later, in order."""
        world = self.world
        for number, operations in messages.items():
            cost = world.head + (nonce is not None) + sum(
                1 + len(operation[2]) if operation[0] == "bind" else 1 for operation in operations
            )
            self.free_at = max(self.free_at, now()) + cost / world.channel_rate
            proxy = world.proxies[number]
            proxy.written.append(self.free_at)
            proxy.last_arrival = max(proxy.last_arrival, self.free_at + world.rng.uniform(0.05, 0.15))
            asyncio.get_running_loop().call_at(
                asyncio.get_running_loop().time() + proxy.last_arrival - now(), self.apply, proxy, operations, nonce, now()
            )

    def apply(self, proxy, operations, nonce, ordered):
        for operation in operations:
            if operation[0] == "set":
                if operation[2] > 0:
                    proxy.lines[operation[1]] = operation[2]
                else:
                    proxy.lines.pop(operation[1], None)
            elif operation[0] == "bind":
                proxy.table, proxy.lines, proxy.out = operation[1], dict(operation[2]), set(operation[3])
            elif operation[0] == "level":
                proxy.retries = operation[2] > 0
            elif operation[0] == "OUT":
                proxy.out.add(operation[1])
            elif operation[0] == "IN":
                proxy.out.discard(operation[1])
        if nonce is not None:
            self.event(f"event: done\ndata: node={proxy.number}&nonce={nonce}&latency={1000 * (now() - ordered):.1f}\n\n")


class World:
    """Everything that a controller meets; see the module docstring."""

    def __init__(self, zones, backends, proxies, rate, record, channel_rate, head, seed=1):
        self.rng = random.Random(seed)
        self.zones, self.rate, self.record = zones, rate, record
        self.channel_rate, self.head = channel_rate, head
        self.began = now()
        self.backends = {}
        for index in range(backends):
            self.add_backend(f"s-{index:04x}", zones[index % len(zones)])
        self.proxies = []
        for number in range(proxies):
            zone = zones[number % len(zones)]
            names = [one.name for one in self.backends.values() if one.zone == zone]
            self.proxies.append(Proxy(self, number, zone, self.rng.sample(names, 5)))
        self.discovery = Discovery(self)
        self.relay = Relay(self)
        self.arrivals = 0  # requests that backends have read
        self.attempts = []  # (time sent, proxy, backend, outcome)
        self.outcomes = {}  # outcome -> requests
        self.met = {}  # (zone, backend) -> [tries, failures, sum of ms]
        self.came = {}  # proxy -> requests
        self.tasks = set()

    def log(self, what, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.record.write(f"{now() - self.began:8.3f} {what} {text}\n")

    def add_backend(self, name, zone):
        self.backends[name] = Backend(self, name, zone)
        return self.backends[name]

    def arrived(self, backend, proxy, sent):
        """A backend has read a request."""
        self.arrivals += 1
        if backend.phase != "ready":
            self.log("at-drained", backend=backend.name, proxy=proxy)

    async def start(self):
        """Returns the addresses of discovery and the relay."""
        for backend in self.backends.values():
            await backend.start()
        servers = [await asyncio.start_server(one.serve, "127.0.0.1", 0) for one in (self.discovery, self.relay)]
        return ["127.0.0.1:%d" % server.sockets[0].getsockname()[1] for server in servers]

    # ---- requests

    async def run_proxy(self, proxy):
        due = now() + self.rng.random() / self.rate
        while True:
            await asyncio.sleep(max(0, due - now()))
            due += 1 / self.rate
            self.came[proxy.number] = self.came.get(proxy.number, 0) + 1
            name = proxy.pick()
            if name is None:
                self.log("no-line", proxy=proxy.number)
                continue
            task = asyncio.ensure_future(self.request(proxy, self.backends[name]))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def request(self, proxy, backend):
        """One request, with a second try where the order says so: after proof that the first never ran."""
        outcome = await self.attempt(proxy, backend)
        if outcome == "never ran" and proxy.retries:
            other = proxy.pick(but=backend.name)
            if other is not None:
                outcome = await self.attempt(proxy, self.backends[other])
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        if outcome != "answered":
            self.log("request", proxy=proxy.number, backend=backend.name, outcome=f"'{outcome}'")

    async def attempt(self, proxy, backend):
        """One try. Returns 'answered', 'never ran' (no connection came up) or 'lost' (no answer came)."""
        sent = now()
        outcome = "never ran"
        idle = proxy.idle.setdefault(backend.name, [])
        connection = None
        try:
            while idle and connection is None:
                connection = idle.pop()
                if connection[0].at_eof() or connection[1].is_closing():
                    connection[1].close()
                    connection = None
            if connection is None:
                opening = asyncio.open_connection("127.0.0.1", backend.port)
                connection = await asyncio.wait_for(opening, CONNECT_TIMEOUT_S)
            outcome = "lost"
            connection[1].write(b"%d %.6f\n" % (proxy.number, sent))
            if await asyncio.wait_for(connection[0].readline(), TRY_TIMEOUT_S) == b"ok\n":
                outcome = "answered"
        except (OSError, asyncio.TimeoutError):
            pass
        if outcome == "answered":
            idle.append(connection)
        elif connection:
            connection[1].close()
        self.attempts.append((sent, proxy.number, backend.name, outcome))
        row = self.met.setdefault((proxy.zone, backend.name), [0, 0, 0.0])
        row[0] += 1
        row[1] += outcome != "answered"
        row[2] += 1000 * (now() - sent) * (outcome == "answered")
        return outcome

    # ---- collectors

    async def run_collector(self, address, zone, cycle, kind):
        """Forwards the zone's sums to the controller each cycle, some time late."""
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'{"@type":"telemetry","locality":"%s"}\n' % zone.encode())
        while True:
            await asyncio.sleep(cycle)
            lines = []
            for at, name in [pair for pair in self.met if pair[0] == zone]:
                total, errors, ms = self.met.pop((at, name))
                lines.append(
                    {"@type": "upstream_stats", "locality": zone, "endpoint": name, "total": total, "errors": errors,
                     "rtt": round(ms / max(1, total - errors), 1), "interval": 1000 * cycle}
                )
            for proxy in [one for one in self.proxies if one.zone == zone]:
                if total := self.came.pop(proxy.number, 0):
                    lines.append({"@type": "client_stats", "node": proxy.number, "route": kind, "total": total,
                                  "errors": 0, "interval": 1000 * cycle})
            writer.write(b"".join(json.dumps(line).encode() + b"\n" for line in lines))
            await writer.drain()


def most_in_window(times, window):
    """The most of `times` that lie within any span of `window`."""
    times = sorted(times)
    return max((bisect.bisect_left(times, start + window) - index for index, start in enumerate(times)), default=0)

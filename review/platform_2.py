"""A small stand-in of the operators' platform: relay with its proxies, discovery and collectors, by PROTOCOL.md.

Written from the operators' pages alone; asyncio and the standard library. Proxies keep tables of their own: what
the relay carries out reaches a proxy as a message, through a channel of the told pace and after the told way, in
order. What is judged is what proxies send, by the list that discovery has written to the controller.
"""

import asyncio
import contextlib
import json
import random
import time
from urllib.parse import parse_qs, urlsplit

ANSWER = "<?xml version=\"1.0\"?>\n<Response><items><item><ok_count>{}</ok_count></item></items></Response>"
INVALID = "<?xml version=\"1.0\"?>\n<Response><Errors><Error><Code>invalid</Code></Error></Errors></Response>"


async def read_request(reader):
    """One HTTP request: (method, target, body), or None at the end."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ")
        length = next((int(row.split(":")[1]) for row in head if row.lower().startswith("content-length:")), 0)
        return method, target, await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError, TimeoutError):
        return None


def response(body, kind):
    """A whole HTTP answer."""
    return f"HTTP/1.1 200 OK\r\nContent-Type: {kind}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class Proxy:
    """One proxy: what it holds, and whether its stream is up.

    Attributes:
        lines: backend -> weight, as applied.
        table: number of the table that it is bound to on this stream, or None.
        withdrawn: backends that it was told not to send to.
        ordered: whether it holds a table that was ordered.
    """

    def __init__(self, number, zone, rate, standing):
        self.number = number
        self.zone = zone
        self.rate = rate
        self.lines = dict.fromkeys(standing, 1.0)
        self.table = None
        self.withdrawn = set()
        self.ordered = False
        self.bound = None  # the same as the relay has it, before the message has arrived
        self.joined_at = None  # on this stream; None while it is down
        self.stream = 0  # counts its streams: a message of an earlier one is lost
        self.arrives_at = 0.0  # of the last message on its way: they arrive in order
        self.rounds = {}  # smooth weighted round robin

    def pick(self):
        """The next backend, evenly by weight; None if there is no line."""
        lines = {name: weight for name, weight in self.lines.items() if name not in self.withdrawn and weight > 0}
        if not lines:
            return None
        total = sum(lines.values())
        for name, weight in lines.items():
            self.rounds[name] = self.rounds.get(name, random.random() * weight) + weight
        best = max(lines, key=lambda name: self.rounds[name])
        self.rounds[best] -= total
        return best


class Platform:
    """Relay, discovery, proxies and collectors of one controller.

    Args:
        case: the Case whose record is written.
        settings: the settings object that the controller is given.
        backends: id -> zone.
        proxies: zone of each proxy.
        rate: requests a second of each proxy.
    """

    def __init__(self, case, settings, backends, proxies, rate):
        self.case = case
        self.settings = settings
        self.specifics = settings["specifics"]
        self.members = {name: self._member(name, zone) for name, zone in backends.items()}
        self.revision = 41
        self.changes = []  # (revision, id)
        self.changed = asyncio.Event()
        self.told = {}  # id -> when discovery wrote to the controller that it is not ready
        self.proxies = []
        for number, zone in enumerate(proxies):
            near = [name for name, at in backends.items() if at == zone] or list(backends)
            self.proxies.append(Proxy(number, zone, rate, random.sample(near, min(len(near), 5))))
        self.tables = {}  # number -> backend -> weight
        self.news = {}  # writer of an open event stream -> whether it is silent
        self.channel_free_at = 0.0
        self.sent = {}  # (zone, backend) -> tries since the last report
        self.came = {}
        self.total = 0
        self.nowhere = 0
        self.late = []  # (by how many seconds, proxy, backend) of the requests past the grace
        self.writers = []

    @staticmethod
    def _member(name, zone, phase="ready", up_since=0):
        return {
            "id": name, "host_port": "127.0.0.1:9", "locality": zone, "flavor": "m", "cell": 0, "phase": phase,
            "size": 1.0, "up_since_ms": up_since,
        }

    async def start(self, relay, discovery):
        """Listens on both addresses."""
        self.servers = [
            await asyncio.start_server(self._serve_relay, *relay.split(":")),
            await asyncio.start_server(self._serve_discovery, *discovery.split(":")),
        ]
        self.tasks = [asyncio.create_task(self._signs_of_life())]

    async def stop(self):
        """Ends all tasks and connections."""
        for task in self.tasks:
            task.cancel()
        for server in self.servers:
            server.close()
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0.1)

    def begin(self, listen):
        """Proxies join, clients send, collectors report."""
        for proxy in self.proxies:
            self.join(proxy)
            self.tasks.append(asyncio.create_task(self._clients(proxy)))
        for zone in sorted({proxy.zone for proxy in self.proxies}):
            self.tasks.append(asyncio.create_task(self._collect(zone, listen)))

    # ---- discovery

    def change(self, name, phase, **fields):
        """Changes a backend on the list; what is gone leaves it."""
        self.members[name] = {**self.members[name], "phase": phase, **fields}
        self.revision += 1
        self.changes.append((self.revision, name))
        self.case.note("list", revision=self.revision, backend=name, phase=phase)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve_discovery(self, reader, writer):
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError):
            while request := await read_request(reader):
                query = parse_qs(urlsplit(request[1]).query)
                since = int(query["from"][0]) if "from" in query else None
                if since is not None and since == self.revision:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(int(query["hold_ms"][0]) / 1e3):
                            await self.changed.wait()
                if since is None:
                    rows = [member for member in self.members.values() if member["phase"] != "gone"]
                else:
                    rows = [self.members[name] for name in dict.fromkeys(n for r, n in self.changes if r > since)]
                body = json.dumps({"revision": self.revision, "complete": since is None, "members": rows}).encode()
                writer.write(response(body, "application/json"))
                await writer.drain()
                for name, member in self.members.items():
                    if member["phase"] == "ready":
                        self.told.pop(name, None)
                    elif name not in self.told:
                        self.told[name] = time.monotonic()
                        self.case.note("told", backend=name, phase=member["phase"])
        writer.close()

    # ---- relay

    async def _serve_relay(self, reader, writer):
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError):
            while request := await read_request(reader):
                method, target, body = request
                form = parse_qs(body.decode())
                if (method, target) == ("GET", "/api/stream"):
                    await self._serve_news(reader, writer)
                    break
                if (method, target) != ("POST", "/api/") or form.get("Action") != ["CommitChanges"]:
                    writer.write(response(INVALID.encode(), "text/xml"))
                    continue
                count = self._carry_out(form.get("orders", [""])[0].split(";"))
                writer.write(response(ANSWER.format(count).encode(), "text/xml"))
                await writer.drain()
        writer.close()

    async def _serve_news(self, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.news[writer] = False
        self.case.note("news opened", streams=len(self.news))
        for proxy in self.proxies:
            if proxy.joined_at is not None:
                self._write_event(writer, *self._attach(proxy))
        with contextlib.suppress(ConnectionError):
            await reader.read(1)
        silent = self.news.pop(writer)
        self.case.note("news ended by the controller", was_silent=silent)

    @staticmethod
    def _write_event(writer, kind, data):
        text = f"event: {kind}\ndata: {data}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))

    def _event(self, kind, data):
        for writer, silent in list(self.news.items()):
            if not silent:
                self._write_event(writer, kind, data)

    async def _signs_of_life(self):
        while True:
            await asyncio.sleep(1)
            for writer, silent in list(self.news.items()):
                if not silent:
                    writer.write(b"2\r\n:\n\r\n")

    @staticmethod
    def _attach(proxy):
        cold = int(not proxy.ordered)
        return "attach", f"node={proxy.number}&locality={proxy.zone}&w={proxy.rate}&cold={cold}"

    def join(self, proxy):
        """The proxy's stream comes up."""
        proxy.joined_at = time.monotonic()
        proxy.table = None
        proxy.bound = None
        proxy.stream += 1
        self.case.note("proxy joins", proxy=proxy.number)
        self._event(*self._attach(proxy))

    def leave(self, proxy):
        """The proxy's stream breaks: it keeps its lines; its binding and what is on its way are lost."""
        proxy.joined_at = None
        proxy.table = None
        proxy.bound = None
        proxy.stream += 1
        self.case.note("proxy's stream breaks", proxy=proxy.number)
        self._event("detach", f"node={proxy.number}")

    def silence_news(self):
        """All open event streams fall silent: they stay open and carry nothing any more."""
        for writer in self.news:
            self.news[writer] = True
        self.case.note("news falls silent", streams=len(self.news))

    def _carry_out(self, orders):
        """Carries out orders up to the first that can't be used; makes one message for each proxy concerned."""
        parts = {}  # proxy -> functions that apply a part
        lines = {}
        nonce = None
        count = 0
        joined = {proxy.number: proxy for proxy in self.proxies if proxy.joined_at is not None}

        def add(proxy, cost, part):
            parts.setdefault(proxy, []).append(part)
            lines[proxy] = lines.get(proxy, 0) + cost

        for order in orders:
            verb, *words = order.split(",")
            if verb == "SET":
                table, backend, weight = int(words[0]), words[1], float(words[2])
                if backend not in self.members or weight < 0:
                    break
                entries = self.tables.setdefault(table, {})
                entries.pop(backend, None)
                if weight:
                    entries[backend] = weight
                for proxy in joined.values():
                    if proxy.bound == table:
                        add(proxy, 1, lambda p, t=table, b=backend, w=weight: self._apply_line(p, t, b, w))
            elif verb == "USE":
                if int(words[0]) not in joined:
                    break
                proxy, table = joined[int(words[0])], int(words[1])
                proxy.bound = table
                entries = dict(self.tables.setdefault(table, {}))
                add(proxy, 1 + len(entries), lambda p, t=table, e=entries: self._apply_bind(p, t, e))
            elif verb in ("OUT", "IN"):
                if words[0] not in self.members:
                    break
                for proxy in joined.values():
                    add(proxy, 1, lambda p, b=words[0], out=verb == "OUT": self._apply_out(p, b, out))
            elif verb == "LIMIT":
                for proxy in joined.values():
                    if words[0] == "*" or proxy.bound == int(words[0]):
                        add(proxy, 1, lambda p: None)
            elif verb == "SYNC":
                nonce = words[0]
                for proxy in joined.values() if words[1] == "1" else list(parts):
                    add(proxy, 1, lambda p: None)
            else:
                break
            count += 1
        self.case.note("call", taken=count, of=len(orders), reaches=sorted(p.number for p in parts), orders=";".join(orders)[:300])
        self._send(parts, lines, nonce)
        return count

    def _send(self, parts, lines, nonce):
        now = time.monotonic()
        mean = self.specifics["push-delay-us"] / 1e6
        for proxy, todo in parts.items():
            cost = lines[proxy] + self.specifics["head"]
            self.channel_free_at = max(now, self.channel_free_at) + cost / self.specifics["channel-rate"]
            # a way of at least a third of the mean, with a tail up to the longest that the settings tell
            way = min(mean / 3 + random.expovariate(1.5 / mean), self.specifics["push-delay-max-us"] / 1e6)
            proxy.arrives_at = max(self.channel_free_at + way, proxy.arrives_at)
            delay = proxy.arrives_at - now
            asyncio.get_running_loop().call_later(delay, self._arrive, proxy, proxy.stream, todo, nonce, now)

    def _arrive(self, proxy, stream, todo, nonce, ordered_at):
        if proxy.stream != stream:
            return
        for part in todo:
            part(proxy)
        if nonce is not None:
            took = (time.monotonic() - ordered_at) * 1e3
            self._event("done", f"node={proxy.number}&nonce={nonce}&latency={took:.1f}")

    def _apply_line(self, proxy, table, backend, weight):
        if proxy.table == table:
            proxy.lines.pop(backend, None)
            if weight:
                proxy.lines[backend] = weight

    def _apply_bind(self, proxy, table, entries):
        proxy.table = table
        proxy.lines = dict(entries)
        proxy.ordered = True
        self.case.note("bound", proxy=proxy.number, table=table, lines=len(entries))

    def _apply_out(self, proxy, backend, out):
        (proxy.withdrawn.add if out else proxy.withdrawn.discard)(backend)

    # ---- requests and reports

    async def _clients(self, proxy):
        kinds = [profile["name"] for profile in self.settings["profiles"]]
        grace = self.settings["contract"]["drain-grace-us"] / 1e6 + 0.3  # PROTOCOL.md: 300 ms longer on sockets
        at = time.monotonic()
        while True:
            at += 1 / proxy.rate
            await asyncio.sleep(max(0, at - time.monotonic()))
            now = time.monotonic()
            kind = kinds[self.total % len(kinds)]
            self.total += 1
            self.came[proxy.number, kind] = self.came.get((proxy.number, kind), 0) + 1
            backend = proxy.pick()
            if backend is None:
                self.nowhere += 1
                continue
            self.sent[proxy.zone, backend] = self.sent.get((proxy.zone, backend), 0) + 1
            told = self.told.get(backend)
            if told is None:
                continue
            since = max(told, proxy.joined_at) if proxy.joined_at is not None else None
            past = now - since - grace if since is not None else 0
            self.case.note("request to a backend that is not ready", proxy=proxy.number, backend=backend,
                           since_told_s=round(now - told, 3), joined=proxy.joined_at is not None, past_grace_s=round(past, 3))
            if past > 0:
                self.late.append((past, proxy.number, backend))

    async def _collect(self, zone, listen):
        period = self.specifics["cycle-us"] / 1e6
        _, writer = await asyncio.open_connection(*listen.split(":"))
        self.writers.append(writer)
        writer.write(json.dumps({"@type": "telemetry", "locality": zone}).encode() + b"\n")
        while True:
            await asyncio.sleep(period)
            rows = []
            for (where, backend), total in list(self.sent.items()):
                if where == zone:
                    del self.sent[where, backend]
                    rows.append({
                        "@type": "upstream_stats", "locality": zone, "endpoint": backend, "total": total, "errors": 0,
                        "rtt": 150.0, "interval": period * 1e3, "metrics": dict.fromkeys(self.settings["feedback"]["fields"], 0.4),
                    })
            for (number, kind), total in list(self.came.items()):
                if self.proxies[number].zone == zone:
                    del self.came[number, kind]
                    rows.append({"@type": "client_stats", "node": number, "route": kind, "total": total, "errors": 0,
                                 "interval": period * 1e3})
            asyncio.get_running_loop().call_later(
                0.6, writer.write, b"".join(json.dumps(row).encode() + b"\n" for row in rows)
            )


async def heartbeat(listen, seconds=30):
    """Waits until the controller answers a heartbeat: then it is put to use."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(2):
                reader, writer = await asyncio.open_connection(*listen.split(":"))
                writer.write(b'{"@type":"hb"}\n')
                line = await reader.readline()
                writer.close()
                if b"hb_ok" in line:
                    return True
        await asyncio.sleep(0.05)
    return False

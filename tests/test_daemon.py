"""The daemon: protocol errors, slow proxies, duplicate names, operators' pages, signals, failed starts."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from dataclasses import replace
from functools import partial
from pathlib import Path

import anyio
from hypothesis import HealthCheck, given, settings, strategies as st

from embertray.common.net.address import parse_loopback
from embertray.common.net.clock import LoopClock
from embertray.common.net.exceptions import AddressError
from embertray.common.net.tcp import TcpNet
from embertray.common.snapshots import DurableSnapshots, InMemorySnapshots, Snapshot, SnapshotEntry
from embertray.controller.channel.send_buffer import UNSENT_AGE_MAX_NS
from embertray.controller.stream.exceptions import ProtocolError
from embertray.controller.stream.messages import Acknowledgement, Bind, Fault, Orders, Welcome
from embertray.controller.stream.session import ProxySession
from embertray.service.daemon import Service
from embertray.service.site import load
from embertray.service.site.schema import SITE_FOLDER
from embertray.simulation.scenarios.player import error_logger
from embertray.simulation.standins.inventory import StandinInventory
from embertray.simulation.standins.memory_net import MemoryNet
from embertray.simulation.standins.scheduler import Scheduler
from embertray.simulation.standins.virtual_time import START_S, VirtualClock, run

TESTS_FOLDER = Path(__file__).resolve().parent
NS_PER_SECOND = 10**9


class ScriptedProxy:
    """The stream of a scripted proxy."""

    def __init__(self, stream, name, zone="north"):
        self.stream, self.session, self.received = stream, ProxySession(name, zone, 5.0, True), []

    async def hello(self):
        await self.stream.send(self.session.start())
        return self

    async def receive_until(self, kind, acknowledge=True):
        """Returns the next message of a type, or None at the end; acknowledges the nonces up to it."""
        while True:
            while self.received:
                message = self.received.pop(0)
                if acknowledge and isinstance(message, Orders) and message.nonce:
                    await self.stream.send(self.session.pack(Acknowledgement(message.nonce)))
                if isinstance(message, kind):
                    return message
            try:
                data = await self.stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return None
            self.received += self.session.receive(data)


class RunningDaemon:
    """A Service in virtual time, with an inventory of three backends.

    Args:
        site_changes: Fields of the Site that differ from the sample site.
    """

    def __init__(self, **site_changes):
        self.site_changes = site_changes

    async def __aenter__(self):
        self.net, self.clock = MemoryNet(), VirtualClock()
        self.group = anyio.create_task_group()
        await self.group.__aenter__()
        self.inventory = StandinInventory(self.net, Scheduler(self.clock))
        await self.group.start(self.inventory.run, "127.0.0.1:0")
        for n in range(3):
            self.inventory.list(f"127.0.0.1:900{n}", "north")
        site = load(SITE_FOLDER / "samples" / "pushed.xml").at(
            inventory=self.inventory.address, **self.site_changes
        )
        self.service = Service(
            site,
            site.controllers[0],
            self.clock,
            self.net,
            InMemorySnapshots(self.clock),
            1,
            lambda: 0.5,
            error_logger(),
        )
        await self.group.start(self.service.run)
        return self

    async def __aexit__(self, *_):
        self.service.stop()
        self.group.cancel_scope.cancel()
        await self.group.__aexit__(None, None, None)

    async def dial(self):
        return await self.net.dial(self.service.listen)

    async def connect_proxy(self, name):
        return await ScriptedProxy(await self.dial(), name).hello()

    async def raw_request(self, text):
        async with await self.net.dial(self.service.admin) as stream:
            await stream.send(text)
            data = b""
            try:
                while True:
                    data += await stream.receive()
            except anyio.EndOfStream:
                return data

    async def request(self, method, path):
        data = await self.raw_request(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        head, _, body = data.partition(b"\r\n\r\n")
        return int(head.split()[1]), body.decode()


def with_daemon(test, **site_changes):
    """Makes a test of an async method that is called with a RunningDaemon, in virtual time."""

    def run_test(self, *args):
        async def main():
            async with RunningDaemon(**site_changes) as daemon:
                await test(self, daemon, *args)

        run(main)

    run_test.__name__, run_test.__doc__ = test.__name__, test.__doc__
    return run_test


class ProxyStreamTests(unittest.TestCase):
    @with_daemon
    async def test_a_joined_proxy_is_bound_to_a_table_with_all_lines(self, daemon):
        proxy = await daemon.connect_proxy("p1")
        self.assertEqual((await proxy.receive_until(Welcome)).kinds, ["view", "post"])
        orders = await proxy.receive_until(Orders)
        self.assertEqual([type(do) for do in orders.do], [Bind])
        self.assertEqual(len(orders.do[0].lines), 3)

    @with_daemon
    async def test_a_second_stream_of_one_name_replaces_the_first(self, daemon):
        first = await daemon.connect_proxy("p1")
        await first.receive_until(Orders)
        second = await daemon.connect_proxy("p1")
        self.assertEqual((await first.receive_until(Fault)).code, "replaced")
        self.assertEqual([type(do) for do in (await second.receive_until(Orders)).do], [Bind])
        await anyio.sleep(3)
        self.assertEqual((len(daemon.service.streams), daemon.service.counters.leaves), (1, 1))

    @with_daemon
    async def test_each_protocol_error_gets_one_fault_and_other_streams_go_on(self, daemon):
        good_proxy = await daemon.connect_proxy("good")
        await good_proxy.receive_until(Orders)
        for data, code in (
            (b"\xff\xff\xff\xff", "oversized"),
            (b"\0\0\0\0", "empty"),
            (b"\0\0\0\1\xc1", "malformed"),
            (ProxySession.pack(Acknowledgement(1)), "order"),
            (ProxySession("x", "moon", 0, True).start(), "zone"),
            (b"\0\0\0\5ab", None),
            (b"", "hello"),
        ):
            with self.subTest(data=data):
                stream = await daemon.dial()
                if data:
                    await stream.send(data)
                if code is None:
                    await stream.send_eof()
                client_session = ProxySession("x", "z", 0, True)
                replies = []
                try:
                    while data_in := await stream.receive():
                        replies += client_session.receive(data_in)
                except (anyio.EndOfStream, ProtocolError):
                    pass
                self.assertEqual([type(m) for m in replies], [Fault])
                self.assertEqual(replies[0].code, code or "cut")
        daemon.inventory.list("127.0.0.1:9000", "north", "draining")
        self.assertIsNotNone(await good_proxy.receive_until(Orders))
        self.assertEqual(len(daemon.service.streams), 1)

    @with_daemon
    async def test_an_acknowledgement_of_no_open_nonce_ends_that_stream(self, daemon):
        proxy = await daemon.connect_proxy("p1")
        orders = await proxy.receive_until(Orders)
        await proxy.stream.send(proxy.session.pack(Acknowledgement(orders.nonce)))
        self.assertEqual((await proxy.receive_until(Fault)).code, "order")

    @with_daemon
    async def test_a_nonce_of_a_former_stream_can_not_be_acknowledged(self, daemon):
        proxy = await daemon.connect_proxy("p1")
        orders = await proxy.receive_until(Orders, acknowledge=False)
        await proxy.stream.aclose()
        second_stream = await daemon.connect_proxy("p1")
        await second_stream.receive_until(Orders, acknowledge=False)
        await second_stream.stream.send(second_stream.session.pack(Acknowledgement(orders.nonce)))
        self.assertEqual((await second_stream.receive_until(Fault, acknowledge=False)).code, "order")

    @with_daemon
    async def test_a_proxy_that_never_reads_is_cut_and_rejected_for_a_while(self, daemon):
        fast_proxy, slow_proxy = await daemon.connect_proxy("quick"), await daemon.connect_proxy("slow")
        await fast_proxy.receive_until(Orders)
        stream = daemon.service.streams["slow"]
        # the socket's buffers are full and the proxy does not read
        stream.conn.stream.peer.buffered = 1 << 20
        for n in range(5):
            daemon.inventory.list(f"127.0.0.1:91{n}0", "north", "ready", int(START_S * 1e9))
            self.assertIsNotNone(await fast_proxy.receive_until(Orders))
            await anyio.sleep(1.5)
        await anyio.sleep(UNSENT_AGE_MAX_NS / 1e9)
        self.assertEqual((daemon.service.counters.cuts, list(daemon.service.streams)), (1, ["quick"]))
        self.assertIsNotNone(slow_proxy)
        second_stream = await daemon.connect_proxy("slow")
        fault = await second_stream.receive_until((Fault, Welcome))
        self.assertTrue(isinstance(fault, Welcome) or fault.code == "later" and fault.wait > 0)

    @partial(with_daemon, proxies=1000)
    async def test_a_thousand_proxies_that_dial_at_once_are_bound_within_the_channel_rate(self, daemon):
        began = daemon.clock.now()
        joined_proxies = [await daemon.connect_proxy(f"p{n}") for n in range(1000)]
        bind_times = []

        async def await_bind(proxy):
            orders = await proxy.receive_until(Orders)
            bind_times.append((daemon.clock.now() - began, len(orders.do)))

        async with anyio.create_task_group() as group:
            for proxy in joined_proxies:
                group.start_soon(await_bind, proxy)
        cost = 1000 * (4 + 1 + 1 + 3)
        self.assertLess(max(at for at, _ in bind_times) / NS_PER_SECOND, 1.5 * cost / 1200)
        self.assertLessEqual(daemon.service.core.pacer.lines_peak, daemon.service.site.pending_max)

    @with_daemon
    async def test_a_proxy_that_acknowledges_no_nonce_is_cut_after_the_timeout(self, daemon):
        silent = await daemon.connect_proxy("silent")
        self.assertIsNone(await silent.receive_until(Fault, acknowledge=False))
        self.assertEqual(daemon.service.counters.cuts, 1)
        self.assertTrue(60 < daemon.clock.now() / NS_PER_SECOND - START_S < 80)
        self.assertEqual(
            (daemon.service.core.nonces.outstanding, daemon.service.core.identifiers.nonces), ({}, {})
        )

    @settings(derandomize=True, deadline=None, max_examples=25, suppress_health_check=list(HealthCheck))
    @given(
        st.lists(
            st.binary(min_size=1, max_size=60)
            | st.sampled_from([b"\0\0\0\3", b"\0\0\1\0", b"\x95\xa5hello\1"]),
            min_size=1,
            max_size=6,
        )
    )
    def test_random_bytes_on_the_listener_leave_no_handshake_and_no_internal_fault(self, pieces):
        self.send_pieces(pieces)

    @with_daemon
    async def send_pieces(self, daemon, pieces):
        stream = await daemon.dial()
        try:
            for piece in pieces:
                await stream.send(piece)
                await anyio.sleep(0.01)
            await stream.aclose()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        await anyio.sleep(6)
        good_proxy = await daemon.connect_proxy("good")
        self.assertIsNotNone(await good_proxy.receive_until(Orders))
        self.assertEqual(
            (daemon.service.admission.handshakes, daemon.service.faults.get("internal", 0)), (0, 0)
        )


class OperatorPages(unittest.TestCase):
    @with_daemon
    async def test_pages_answer_with_their_status(self, daemon):
        proxy = await daemon.connect_proxy("p1")
        await proxy.receive_until(Orders)
        self.assertEqual(await daemon.request("GET", "/ready"), (200, "ready: discovery has spoken\n"))
        self.assertIn("embertray_proxies 1\n", (await daemon.request("GET", "/metrics"))[1])
        tables = json.loads((await daemon.request("GET", "/tables"))[1])
        self.assertEqual(sum(len(t["lines"]) for t in tables if t["proxies"] == ["p1"]), 3)
        self.assertEqual(json.loads((await daemon.request("GET", "/proxies"))[1])[0]["proxy"], "p1")
        self.assertEqual((await daemon.request("POST", "/pace?share=0.5"))[0], 200)
        self.assertEqual(json.loads((await daemon.request("GET", "/channel"))[1])["pace"], 0.5)
        for method, path, status in (
            ("POST", "/pace?share=7", 400),
            ("POST", "/pace", 400),
            ("GET", "/drain", 405),
            ("GET", "/nowhere", 404),
        ):
            self.assertEqual((await daemon.request(method, path))[0], status)
        self.assertIn(b" 400 ", await daemon.raw_request(b"nonsense\r\n\r\n"))

    @with_daemon
    async def test_a_graceful_shutdown_closes_streams_step_by_step_and_rejects_joins(self, daemon):
        joined_proxies = [await daemon.connect_proxy(f"p{n}") for n in range(5)]
        for proxy in joined_proxies:
            await proxy.receive_until(Orders)
        self.assertEqual((await daemon.request("POST", "/drain"))[0], 202)
        self.assertEqual({(await proxy.receive_until(Fault)).code for proxy in joined_proxies}, {"draining"})
        self.assertEqual((await daemon.request("GET", "/ready"))[0], 503)
        rejected = await (await daemon.connect_proxy("late")).receive_until(Fault)
        self.assertEqual(rejected.code, "draining")
        self.assertGreater(rejected.wait, 0)


class DaemonProcess(unittest.TestCase):
    """The daemon as a process with real sockets."""

    def test_only_loopback_addresses_are_accepted(self):
        for invalid_address in (
            "10.0.0.1:1",
            "0.0.0.0:1",
            "example.org:1",
            "127.0.0.1",
            "127.0.0.1:70000",
            ":1",
        ):
            with self.assertRaises(AddressError):
                parse_loopback(invalid_address)
        self.assertEqual(parse_loopback("[::1]:5"), ("::1", 5))

        async def main():
            with self.assertRaises(AddressError):
                await TcpNet().listen("0.0.0.0:0")

        anyio.run(main)

    def test_a_start_without_inventory_serves_from_the_snapshot_and_stops_on_sigterm(self):
        with tempfile.TemporaryDirectory() as folder:
            folder = Path(folder)
            snapshot_store = DurableSnapshots(folder / "list")
            snapshot_store.open()
            wall, boot, mono = snapshot_store.clock_reading()
            snapshot_store.save(
                Snapshot(
                    4,
                    5 * NS_PER_SECOND,
                    wall,
                    boot,
                    mono,
                    [SnapshotEntry("127.0.0.1:9000", "north", "ready", 0, wall)],
                )
            )
            snapshot_store.close()
            text = (SITE_FOLDER / "samples" / "pushed.xml").read_text()
            for old, new in (
                ("127.0.0.1:7001", "127.0.0.1:0"),
                ("127.0.0.1:7011", "127.0.0.1:0"),
                ("127.0.0.1:7100", "127.0.0.1:1"),
                ('mode="push"', f'mode="push" keep="{folder}/list"'),
            ):
                text = text.replace(old, new)
            (folder / "site.xml").write_text(text)
            process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "embertray",
                    "--log-format",
                    "json",
                    "serve",
                    str(folder / "site.xml"),
                ],
                stderr=subprocess.PIPE,
                text=True,
                cwd=TESTS_FOLDER.parent,
                env={**os.environ},
            )
            try:
                log_rows = iter(map(json.loads, process.stderr))
                listen = next(row for row in log_rows if row["event"] == "listening")["listen"]

                async def main():
                    with anyio.fail_after(20):
                        proxy = await ScriptedProxy(await TcpNet().dial(listen), "p1").hello()
                        orders = await proxy.receive_until(Orders)
                        self.assertEqual(orders.do[0].lines[0][0], "127.0.0.1:9000")
                        process.send_signal(signal.SIGTERM)
                        self.assertIsNone(await proxy.receive_until(Fault))
                        await proxy.stream.aclose()

                anyio.run(main)
                self.assertEqual(process.wait(10), 0)
                self.assertIn("stopping", [row["event"] for row in log_rows])
            finally:
                process.kill()
                process.wait()
                process.stderr.close()


class FailedStarts(unittest.TestCase):
    def test_a_start_that_fails_leaves_neither_listener_nor_lock(self):
        """If the admin address is in use, the start fails and must release the listener and the lock."""

        async def start_and_check(folder):
            net = TcpNet(parse_loopback)
            used_listener = await net.listen("127.0.0.1:0")
            free_listener = await net.listen("127.0.0.1:0")
            address = free_listener.address
            await free_listener.aclose()
            site = load(SITE_FOLDER / "samples" / "pushed.xml")
            me = site.controllers[0]
            me = replace(me, listen=address, admin=used_listener.address)
            store = DurableSnapshots(folder)
            service = Service(site, me, LoopClock(), net, store, 1, lambda: 0.5, error_logger())
            with self.assertRaises(OSError):
                await service.run()
            DurableSnapshots(folder).open()
            await (await net.listen(address)).aclose()
            await used_listener.aclose()

        with tempfile.TemporaryDirectory() as folder:
            anyio.run(start_and_check, Path(folder))


if __name__ == "__main__":
    unittest.main()

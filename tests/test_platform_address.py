"""Tests of the controller's listening address: the sans-I/O protocol, and connections on loopback."""

import asyncio
import json
import os
import resource
import socket
import struct
import subprocess
import sys
import tempfile
import time
import unittest
from contextlib import ExitStack
from pathlib import Path

import anyio
from platform_fixtures import (
    BACKEND_REPORT_LINE,
    EXPECTED_REPORTS,
    HERE,
    JOIN_LINE,
    TRAFFIC_REPORT_LINE,
    S,
    configuration_json,
    connect_client,
    inbound_connection,
    read_all,
    read_until_closed,
    running_service,
)

from embertray.platform.protocol import limits
from embertray.platform.protocol.admission import ConnectionAdmission
from embertray.platform.protocol.wire import HEARTBEAT_REPLY, REJECTION


class Lines(unittest.TestCase):
    def test_lines_may_be_split_at_any_byte(self):
        fed_at_once, fed_by_byte = inbound_connection(), inbound_connection()
        found = fed_at_once.receive(JOIN_LINE + BACKEND_REPORT_LINE + TRAFFIC_REPORT_LINE)
        reports_by_byte = [
            report
            for k in range(len(JOIN_LINE + BACKEND_REPORT_LINE + TRAFFIC_REPORT_LINE))
            for report in fed_by_byte.receive(
                (JOIN_LINE + BACKEND_REPORT_LINE + TRAFFIC_REPORT_LINE)[k : k + 1]
            )
        ]
        self.assertEqual(
            (found, reports_by_byte, fed_at_once.outgoing, fed_at_once.zone),
            (EXPECTED_REPORTS, EXPECTED_REPORTS, b"", "north"),
        )
        self.assertFalse(fed_at_once.check_join_deadline(10 * S))

    def test_only_invalid_reports_are_skipped(self):
        invalid_lines = [
            BACKEND_REPORT_LINE.replace(b'"total":9', b'"total":"9"'),
            BACKEND_REPORT_LINE.replace(b'"total":9,', b""),
            BACKEND_REPORT_LINE.replace(b":9,", b":-9,"),
            BACKEND_REPORT_LINE.replace(b'"errors":1', b'"errors":10'),
            BACKEND_REPORT_LINE.replace(b"41.5", b"-1"),
            BACKEND_REPORT_LINE.replace(b"41.5", b"1e300"),
            BACKEND_REPORT_LINE.replace(b'"locality":"north"', b'"locality":"nowhere"'),
            BACKEND_REPORT_LINE.replace(b'"rtt":41.5,', b""),
            BACKEND_REPORT_LINE.replace(b"1000.0", b"0"),
            TRAFFIC_REPORT_LINE.replace(b"17", b"40"),
            TRAFFIC_REPORT_LINE.replace(b"view", b"x"),
            TRAFFIC_REPORT_LINE.replace(b"client_stats", b"assign"),
            TRAFFIC_REPORT_LINE.replace(b'"errors":2', b'"errors":null'),
            b"[]\n",
        ]
        for line in invalid_lines:
            connection = inbound_connection()
            self.assertEqual(
                connection.receive(JOIN_LINE + line + BACKEND_REPORT_LINE + TRAFFIC_REPORT_LINE),
                EXPECTED_REPORTS,
                line,
            )
            self.assertEqual((connection.invalid_reports, connection.close_reason), (1, ""), line)

    def test_malformed_data_closes_a_collector_without_a_reply(self):
        connection = inbound_connection()
        self.assertEqual(
            connection.receive(JOIN_LINE + TRAFFIC_REPORT_LINE + b"\x00\xff{garbage\n" + TRAFFIC_REPORT_LINE),
            EXPECTED_REPORTS[1:],
        )
        self.assertTrue(connection.close_reason)
        self.assertEqual(connection.outgoing, b"")

    def test_unjoined_peers_are_rejected(self):
        for data in (
            b"\x16\x03\x01\x00\n",
            b"GET / HTTP/1.1\r\n\r\n",
            BACKEND_REPORT_LINE,
            b'{"@type":"attach","node":1,"locality":"north"}\n',
            b'{"@type":"telemetry","locality":"nowhere"}\n',
            b'{"@type":"telemetry"}\n',
            b"SET,1,be-1,1\n",
            b"[" * 9000 + b"\n",
            b"x" * (limits.UNJOINED_MAX_BYTES + 1),
            b'{"@type":"assign"}\n',
        ):
            connection = inbound_connection()
            self.assertEqual(connection.receive(data), [])
            self.assertTrue(connection.close_reason and connection.outgoing.endswith(REJECTION), data[:40])
        silent_peer = inbound_connection()
        silent_peer.receive(b'{"@type":"hb"}\n{"@ty')
        self.assertEqual(silent_peer.outgoing, HEARTBEAT_REPLY)
        self.assertFalse(silent_peer.check_join_deadline(limits.JOIN_TIMEOUT_NS - 1))
        self.assertTrue(silent_peer.check_join_deadline(limits.JOIN_TIMEOUT_NS))
        self.assertEqual(silent_peer.outgoing, HEARTBEAT_REPLY + REJECTION)

    def test_an_overlong_line_closes_a_collector(self):
        connection = inbound_connection()
        connection.receive(JOIN_LINE)
        for _ in range(limits.LINE_MAX_BYTES // 65536 + 1):
            connection.receive(b"x" * 65536)
        self.assertEqual((connection.close_reason, len(connection.buffer)), ("line too long", 0))

    def test_unjoined_peers_are_rejected_for_too_many_lines(self):
        for line in (b"\n", b'{"@type":"hb"}\n'):
            connection = inbound_connection()
            connection.receive(line * (limits.UNJOINED_MAX_BYTES // len(line)))
            self.assertEqual(connection.close_reason, "")
            connection.receive(line * 2)
            self.assertTrue(connection.close_reason)

    def test_a_collector_of_an_unknown_zone_is_rejected(self):
        connection = inbound_connection()
        connection.receive(JOIN_LINE.replace(b"north", b"nowhere"))
        self.assertEqual((connection.zone, connection.outgoing), (None, REJECTION))


class Admission(unittest.TestCase):
    def test_the_least_recently_reporting_collector_is_evicted(self):
        admission = ConnectionAdmission(64)
        self.assertEqual((admission.unjoined_max, admission.collectors_max), (16, 8))
        self.assertEqual([admission.admit(k) for k in range(8)], [None] * 8)
        for k in (0, 1, 2, 0):
            admission.reported(k)
        self.assertEqual(
            [admission.admit(k) for k in range(8, 13)], [3, 4, 5, 6, 7]
        )  # collectors without a report, the oldest first
        for k in range(8, 13):
            admission.reported(k)
        self.assertEqual(
            [admission.admit(13), admission.admit(14)], [1, 13]
        )  # then the least recently reporting one; 13 has not reported
        admission.reported(1)  # a report of an evicted collector
        admission.release(2)
        self.assertIsNone(admission.admit(15))
        self.assertEqual(
            [
                ConnectionAdmission(n).unjoined_max + ConnectionAdmission(n).collectors_max
                for n in (256, 1024)
            ],
            [208, 976],
        )


class ScriptedStream:
    """A stub stream that delivers its pieces one by one, then its end; records the bytes sent and the number
    of pieces left unread at the close.
    """

    def __init__(self, *pieces):
        self.pieces, self.sent, self.unread = list(pieces), b"", None

    async def receive(self, _max_bytes=65536):
        await anyio.lowlevel.checkpoint()
        if not self.pieces:
            raise anyio.EndOfStream
        return self.pieces.pop(0)

    async def send(self, data):
        self.sent += data

    async def send_eof(self):
        self.sent += b"."

    async def aclose(self):
        self.unread = len(self.pieces)


class Lingering(unittest.TestCase):
    def test_input_is_drained_up_to_a_limit_before_a_close(self):
        async def scenario():
            async with running_service() as (service, _, _):
                for pieces, unread in ((2, 0), (limits.LINGER_MAX_BYTES // 65536 + 3, 3)):
                    stream, connection = (
                        ScriptedStream(b'{"@type":"hb"}\n\xff\n', *[b"x" * 65536] * pieces),
                        inbound_connection(),
                    )
                    connection.join_deadline = service.clock.now() + S
                    await service.listener.handle(connection, stream)
                    self.assertEqual(
                        (stream.sent, stream.unread), (HEARTBEAT_REPLY + REJECTION + b".", unread)
                    )

        anyio.run(scenario)


LONGER_THAN_A_REPLY = 1.1 * limits.REPLY_TIMEOUT_NS / S


class JumpingClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock, while `jumping`, advances by more than the reply timeout at every reading,
    as in a process that gets no CPU time.
    """

    jumping = False
    lost = 0.0

    def time(self):
        self.lost += LONGER_THAN_A_REPLY if self.jumping else 0
        return super().time() + self.lost


class LateReplies(unittest.TestCase):
    """Guards against a reply that is lost because its timeout expires before it is written."""

    def run_scenario(self, write, **loop):
        """Return what a peer that sends malformed data receives; `write(send)` replaces `send`."""

        async def scenario():
            async with running_service() as (service, _, _):
                send = service.listener.send

                async def late_send(*arguments):
                    await write(lambda: send(*arguments))

                service.listener.send = late_send
                return await read_until_closed(await connect_client(service, b'{"@type":"hb"}\n\xff\n'))

        return anyio.run(scenario, backend_options=loop)

    def test_a_rejection_arrives_if_the_clock_jumps_before_the_write(self):
        async def with_jumping_clock(send):
            loop = asyncio.get_running_loop()
            loop.jumping = True
            await send()
            loop.jumping = False

        received = self.run_scenario(with_jumping_clock, loop_factory=JumpingClockLoop)
        self.assertEqual(received, (HEARTBEAT_REPLY + REJECTION, False))

    def test_a_rejection_arrives_if_the_event_loop_is_blocked_before_the_write(self):
        async def with_blocked_loop(send):
            asyncio.get_running_loop().call_soon(time.sleep, LONGER_THAN_A_REPLY)
            await send()

        for use_uvloop in (False, True):
            received = self.run_scenario(with_blocked_loop, use_uvloop=use_uvloop)
            self.assertEqual(received, (HEARTBEAT_REPLY + REJECTION, False), use_uvloop)


class OnSockets(unittest.TestCase):
    def test_hundreds_of_unjoined_peers_do_not_affect_collectors(self):
        async def scenario():
            async with running_service() as (service, relay, _):
                unjoined_peers = [
                    await connect_client(service, b'{"@type":"hb"}\n{"half' if k % 2 else b"")
                    for k in range(300)
                ]
                collector = await connect_client(service, JOIN_LINE + BACKEND_REPORT_LINE)
                received = [await read_all(stream) for stream in unjoined_peers]
                self.assertEqual(set(received), {REJECTION, HEARTBEAT_REPLY + REJECTION})
                await collector.send(b'{"@type":"hb"}\n')
                self.assertEqual(await collector.receive(), HEARTBEAT_REPLY)
                self.assertEqual((len(service.listener.unjoined), service.controller.unknown_reports), (0, 0))
                await collector.aclose()

        anyio.run(scenario)

    def test_hundreds_of_silent_collectors_do_not_displace_reporting_ones(self):
        async def scenario():
            async with running_service() as (service, relay, _):

                async def joined(data=b""):
                    stream = await connect_client(service, JOIN_LINE + data + b'{"@type":"hb"}\n')
                    self.assertEqual(await stream.receive(), HEARTBEAT_REPLY)
                    return stream

                collector, collectors_max = (
                    await joined(BACKEND_REPORT_LINE),
                    service.controller.admission.collectors_max,
                )
                silent = [await joined() for _ in range(2 * collectors_max)]
                self.assertEqual(
                    [await read_until_closed(stream) for stream in silent[: collectors_max + 1]],
                    [(b"", False)] * (collectors_max + 1),
                )
                late = await joined(BACKEND_REPORT_LINE)
                relay.attach(1, "north")
                await relay.wait_until(
                    lambda: relay.lines(1)
                )  # a descriptor was left for a call to the relay
                for stream in (collector, late):
                    await stream.send(BACKEND_REPORT_LINE + b'{"@type":"hb"}\n')
                    self.assertEqual(await stream.receive(), HEARTBEAT_REPLY)
                self.assertEqual(len(service.listener.scopes), collectors_max)
                for stream in [collector, late, *silent]:
                    await stream.aclose()

        anyio.run(scenario)

    def test_heartbeats_are_answered_after_a_half_close_and_before_malformed_data(self):
        async def scenario():
            async with running_service() as (service, _, _):
                half_closed = await connect_client(service, b'{"@type":"hb"}\n')
                await half_closed.send_eof()
                self.assertEqual(await read_until_closed(half_closed), (HEARTBEAT_REPLY, False))
                unfinished = await connect_client(service, b'{"@type":"hb"}\n{"@type":"hb"}')
                await unfinished.send_eof()
                self.assertEqual(
                    await read_until_closed(unfinished), (HEARTBEAT_REPLY, False)
                )  # an incomplete line is ignored
                for _ in range(3):
                    malformed = await connect_client(service, b'{"@type":"hb"}\n\xff\n' + b"x" * 450_000)
                    self.assertEqual(await read_until_closed(malformed), (HEARTBEAT_REPLY + REJECTION, False))

        anyio.run(scenario)

    def test_reports_received_with_the_end_of_a_connection_count(self):
        async def scenario():
            async with running_service() as (service, _, _):
                for k, reset in enumerate((False, True)):
                    collector = await connect_client(service, JOIN_LINE + b'{"@type":"hb"}\n')
                    self.assertEqual(await collector.receive(), HEARTBEAT_REPLY)
                    await collector.send(BACKEND_REPORT_LINE.replace(b"be-1", b"nobody") + b'{"unfinished')
                    if reset:
                        await collector.send(b"\xff\n")  # malformed data closes it; the earlier report counts
                    await collector.send_eof()
                    self.assertEqual(await read_until_closed(collector), (b"", False))
                    self.assertEqual(service.controller.unknown_reports, k + 1)

        anyio.run(scenario)

    def test_connections_reset_before_the_accept_are_cleaned_up(self):
        async def scenario():
            async with running_service() as (service, _, _):
                host, _, port = service.address.rpartition(":")
                for _ in range(100):  # within one iteration of the event loop: no accept in between
                    with socket.create_connection((host, int(port))) as client_socket:
                        client_socket.sendall(JOIN_LINE + BACKEND_REPORT_LINE)
                        client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                probe = await connect_client(service, b'{"@type":"hb"}\n')
                self.assertEqual(await probe.receive(), HEARTBEAT_REPLY)
                while (
                    len(service.listener.unjoined) > 1
                    or service.listener.scopes.keys() - service.listener.unjoined
                ):
                    await anyio.sleep(0.02)
                await probe.aclose()

        anyio.run(scenario)

    def test_a_peer_that_reads_no_replies_is_closed(self):
        async def scenario():
            async with running_service() as (service, _, _):
                with socket.socket() as peer:
                    peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                    host, _, port = service.address.rpartition(":")
                    peer.connect((host, int(port)))
                    peer.setblocking(False)
                    loop = asyncio.get_running_loop()
                    await loop.sock_sendall(peer, JOIN_LINE)
                    with self.assertRaises(OSError):
                        while True:
                            await loop.sock_sendall(peer, b'{"@type":"hb"}\n' * 4000)

        anyio.run(scenario)

    def test_connections_are_accepted_again_after_descriptors_ran_out(self):
        with tempfile.TemporaryDirectory() as folder, ExitStack() as resources:
            Path(folder, "c").write_bytes(configuration_json())
            run = resources.enter_context(
                subprocess.Popen(
                    [sys.executable, "-m", "embertray.platform.run"],
                    env={**os.environ, "ROUTER_CONFIG": str(Path(folder, "c"))},
                    cwd=HERE.parent,
                    stderr=subprocess.PIPE,
                    text=True,
                    preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (40, 40)),
                )
            )
            resources.callback(run.kill)
            line = next(line for line in run.stderr if "listening" in line)
            host, _, port = json.loads(line)["address"].rpartition(":")

            def dial():
                return resources.enter_context(socket.create_connection((host, int(port)), 30))

            unjoined_peers = [
                dial() for _ in range(120)
            ]  # all are silent: each is rejected 1 s after its accept
            self.assertEqual({peer.recv(100) for peer in unjoined_peers}, {REJECTION})
            last = dial()
            last.sendall(b'{"@type":"hb"}\n')
            self.assertEqual(last.recv(100), HEARTBEAT_REPLY)


if __name__ == "__main__":
    unittest.main()

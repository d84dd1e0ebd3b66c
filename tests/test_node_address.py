"""The controller's own address: its lines by bytes and times, and its connections on loopback."""

import asyncio
import json
import os
import resource
import socket
import struct
import subprocess
import sys
import tempfile
import unittest
from contextlib import ExitStack
from pathlib import Path

import anyio
from platform_stage import HEARD, HERE, JOIN, STATS, USAGE, S, client, configured, ended, port, rest, stage

from embertray.platform.protocol import limits
from embertray.platform.protocol.port import ALIVE, TURNED_AWAY
from embertray.platform.protocol.room import Room


class Lines(unittest.TestCase):
    def test_a_collector_joins_and_reports_in_any_pieces(self):
        whole, by_byte = port(), port()
        found = whole.receive(JOIN + STATS + USAGE)
        bits = [
            one
            for k in range(len(JOIN + STATS + USAGE))
            for one in by_byte.receive((JOIN + STATS + USAGE)[k : k + 1])
        ]
        self.assertEqual((found, bits, whole.reply, whole.joined), (HEARD, HEARD, b"", "north"))
        self.assertFalse(whole.late(10 * S))

    def test_spoilt_reports_cost_themselves_only(self):
        spoilt = [
            STATS.replace(b'"total":9', b'"total":"9"'),
            STATS.replace(b'"total":9,', b""),
            STATS.replace(b":9,", b":-9,"),
            STATS.replace(b'"errors":1', b'"errors":10'),
            STATS.replace(b"41.5", b"-1"),
            STATS.replace(b"41.5", b"1e300"),
            STATS.replace(b'"locality":"north"', b'"locality":"nowhere"'),
            STATS.replace(b'"rtt":41.5,', b""),
            STATS.replace(b"1000.0", b"0"),
            USAGE.replace(b"17", b"40"),
            USAGE.replace(b"view", b"x"),
            USAGE.replace(b"client_stats", b"assign"),
            USAGE.replace(b'"errors":2', b'"errors":null'),
            b"[]\n",
        ]
        for line in spoilt:
            one = port()
            self.assertEqual(one.receive(JOIN + line + STATS + USAGE), HEARD, line)
            self.assertEqual((one.spoilt, one.over), (1, ""), line)

    def test_unreadable_data_ends_a_collector_without_a_word(self):
        one = port()
        self.assertEqual(one.receive(JOIN + USAGE + b"\x00\xff{garbage\n" + USAGE), HEARD[1:])
        self.assertTrue(one.over)
        self.assertEqual(one.reply, b"")

    def test_strangers_are_turned_away(self):
        for data in (
            b"\x16\x03\x01\x00\n",
            b"GET / HTTP/1.1\r\n\r\n",
            STATS,
            b'{"@type":"attach","node":1,"locality":"north"}\n',
            b'{"@type":"telemetry","locality":"nowhere"}\n',
            b'{"@type":"telemetry"}\n',
            b"SET,1,be-1,1\n",
            b"[" * 9000 + b"\n",
            b"x" * (limits.STRANGER_BYTES + 1),
            b'{"@type":"assign"}\n',
        ):
            one = port()
            self.assertEqual(one.receive(data), [])
            self.assertTrue(one.over and one.reply.endswith(TURNED_AWAY), data[:40])
        quiet = port()
        quiet.receive(b'{"@type":"hb"}\n{"@ty')
        self.assertEqual(quiet.reply, ALIVE)
        self.assertFalse(quiet.late(limits.JOIN_WITHIN - 1))
        self.assertTrue(quiet.late(limits.JOIN_WITHIN))
        self.assertEqual(quiet.reply, ALIVE + TURNED_AWAY)

    def test_an_endless_line_ends_a_collector(self):
        one = port()
        one.receive(JOIN)
        for _ in range(limits.LINE_MOST // 65536 + 1):
            one.receive(b"x" * 65536)
        self.assertEqual((one.over, len(one.held)), ("a line too long", 0))

    def test_strangers_are_turned_away_for_lines_without_number_too(self):
        for line in (b"\n", b'{"@type":"hb"}\n'):
            one = port()
            one.receive(line * (limits.STRANGER_BYTES // len(line)))
            self.assertEqual(one.over, "")
            one.receive(line * 2)
            self.assertTrue(one.over)

    def test_a_collector_of_no_zone_has_not_joined(self):
        one = port()
        one.receive(JOIN.replace(b"north", b"nowhere"))
        self.assertEqual((one.joined, one.reply), (None, TURNED_AWAY))


class Rooms(unittest.TestCase):
    def test_who_told_least_lately_goes(self):
        room = Room(64)
        self.assertEqual((room.strangers_most, room.collectors_most), (16, 8))
        self.assertEqual([room.joined(k) for k in range(8)], [None] * 8)
        for k in (0, 1, 2, 0):
            room.told(k)
        self.assertEqual(
            [room.joined(k) for k in range(8, 13)], [3, 4, 5, 6, 7]
        )  # silent ones, the oldest first
        for k in range(8, 13):
            room.told(k)
        self.assertEqual(
            [room.joined(13), room.joined(14)], [1, 13]
        )  # then by the last report; the newest silent one
        room.told(1)  # on its way out
        room.left(2)
        self.assertIsNone(room.joined(15))
        self.assertEqual([Room(n).strangers_most + Room(n).collectors_most for n in (256, 1024)], [208, 976])


class Wire:
    """A stream by hand: gives its pieces one by one, then its end; keeps what was sent, and what was unread
    at the close.
    """

    def __init__(self, *pieces):
        self.pieces, self.sent, self.unread = list(pieces), b"", None

    async def receive(self, _most=65536):
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


class Closed(unittest.TestCase):
    def test_nothing_is_unread_when_a_stranger_is_closed_unless_it_never_ends(self):
        async def play():
            async with stage() as (service, _, _):
                for pieces, unread in ((2, 0), (limits.PART_BYTES // 65536 + 3, 3)):
                    wire, one = Wire(b'{"@type":"hb"}\n\xff\n', *[b"x" * 65536] * pieces), port()
                    one.join_by = service.clock.now() + S
                    await service.clients.client(one, wire)
                    self.assertEqual((wire.sent, wire.unread), (ALIVE + TURNED_AWAY + b".", unread))

        anyio.run(play)


class OnSockets(unittest.TestCase):
    def test_strangers_by_the_hundreds_are_closed_and_cost_nobody_else(self):
        async def play():
            async with stage() as (service, relay, _):
                strangers = [
                    await client(service, b'{"@type":"hb"}\n{"half' if k % 2 else b"") for k in range(300)
                ]
                collector = await client(service, JOIN + STATS)
                got = [await rest(stream) for stream in strangers]
                self.assertEqual(set(got), {TURNED_AWAY, ALIVE + TURNED_AWAY})
                await collector.send(b'{"@type":"hb"}\n')
                self.assertEqual(await collector.receive(), ALIVE)
                self.assertEqual((len(service.clients.strangers), service.post.unknown), (0, 0))
                await collector.aclose()

        anyio.run(play)

    def test_valid_joins_by_the_hundreds_keep_no_collector_out(self):
        async def play():
            async with stage() as (service, relay, _):

                async def joined(data=b""):
                    stream = await client(service, JOIN + data + b'{"@type":"hb"}\n')
                    self.assertEqual(await stream.receive(), ALIVE)
                    return stream

                collector, most = await joined(STATS), service.post.room.collectors_most
                silent = [await joined() for _ in range(2 * most)]
                self.assertEqual(
                    [await ended(stream) for stream in silent[: most + 1]], [(b"", False)] * (most + 1)
                )
                late = await joined(STATS)
                relay.attach(1, "north")
                await relay.until(lambda: relay.lines(1))  # a call had its descriptor
                for stream in (collector, late):
                    await stream.send(STATS + b'{"@type":"hb"}\n')
                    self.assertEqual(await stream.receive(), ALIVE)
                self.assertEqual(len(service.clients.scopes), most)
                for stream in [collector, late, *silent]:
                    await stream.aclose()

        anyio.run(play)

    def test_a_sign_of_life_is_answered_after_a_half_close_and_before_what_cannot_be_read(self):
        async def play():
            async with stage() as (service, _, _):
                half = await client(service, b'{"@type":"hb"}\n')
                await half.send_eof()
                self.assertEqual(await ended(half), (ALIVE, False))
                unfinished = await client(service, b'{"@type":"hb"}\n{"@type":"hb"}')
                await unfinished.send_eof()
                self.assertEqual(await ended(unfinished), (ALIVE, False))  # a line that was not ended is none
                for _ in range(3):
                    garbled = await client(service, b'{"@type":"hb"}\n\xff\n' + b"x" * 450_000)
                    self.assertEqual(await ended(garbled), (ALIVE + TURNED_AWAY, False))

        anyio.run(play)

    def test_what_comes_with_the_end_of_a_connection_counts(self):
        async def play():
            async with stage() as (service, _, _):
                for k, reset in enumerate((False, True)):
                    collector = await client(service, JOIN + b'{"@type":"hb"}\n')
                    self.assertEqual(await collector.receive(), ALIVE)
                    await collector.send(STATS.replace(b"be-1", b"nobody") + b'{"unfinished')
                    if reset:
                        await collector.send(b"\xff\n")  # what can't be read ends it; what came before counts
                    await collector.send_eof()
                    self.assertEqual(await ended(collector), (b"", False))
                    self.assertEqual(service.post.unknown, k + 1)

        anyio.run(play)

    def test_connections_that_are_reset_before_they_are_taken_cost_nothing(self):
        async def play():
            async with stage() as (service, _, _):
                host, _, number = service.address.rpartition(":")
                for _ in range(100):  # all within one turn of the loop: nothing is taken meanwhile
                    with socket.create_connection((host, int(number))) as gone:
                        gone.sendall(JOIN + STATS)
                        gone.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                alive = await client(service, b'{"@type":"hb"}\n')
                self.assertEqual(await alive.receive(), ALIVE)
                while (
                    len(service.clients.strangers) > 1
                    or service.clients.scopes.keys() - service.clients.strangers
                ):
                    await anyio.sleep(0.02)
                await alive.aclose()

        anyio.run(play)

    def test_who_takes_no_replies_is_closed(self):
        async def play():
            async with stage() as (service, _, _):
                with socket.socket() as deaf:
                    deaf.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                    host, _, number = service.address.rpartition(":")
                    deaf.connect((host, int(number)))
                    deaf.setblocking(False)
                    loop = asyncio.get_running_loop()
                    await loop.sock_sendall(deaf, JOIN)
                    with self.assertRaises(OSError):
                        while True:
                            await loop.sock_sendall(deaf, b'{"@type":"hb"}\n' * 4000)

        anyio.run(play)

    def test_a_process_without_descriptors_takes_connections_again_later(self):
        with tempfile.TemporaryDirectory() as folder, ExitStack() as open_ones:
            Path(folder, "c").write_bytes(configured())
            run = open_ones.enter_context(
                subprocess.Popen(
                    [sys.executable, "-m", "embertray.platform.run"],
                    env={**os.environ, "ROUTER_CONFIG": str(Path(folder, "c"))},
                    cwd=HERE.parent,
                    stderr=subprocess.PIPE,
                    text=True,
                    preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (40, 40)),
                )
            )
            open_ones.callback(run.kill)
            line = next(line for line in run.stderr if "listening" in line)
            host, _, number = json.loads(line)["address"].rpartition(":")

            def dial():
                return open_ones.enter_context(socket.create_connection((host, int(number)), 30))

            strangers = [
                dial() for _ in range(120)
            ]  # none says a word: each is turned away 1 s after it was taken
            self.assertEqual({peer.recv(100) for peer in strangers}, {TURNED_AWAY})
            last = dial()
            last.sendall(b'{"@type":"hb"}\n')
            self.assertEqual(last.recv(100), ALIVE)


if __name__ == "__main__":
    unittest.main()

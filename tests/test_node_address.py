"""The controller's own address: its lines by bytes and times, and its connections on loopback."""
import unittest

import anyio

from embertray.platform import limits
from embertray.platform.port import ALIVE, TURNED_AWAY
from platform_stage import HEARD, JOIN, S, STATS, USAGE, client, port, rest, stage


class Lines(unittest.TestCase):
    def test_a_collector_joins_and_reports_in_any_pieces(self):
        whole, by_byte = port(), port()
        found = whole.receive(JOIN + STATS + USAGE)
        bits = [one for k in range(len(JOIN + STATS + USAGE)) for one in by_byte.receive((JOIN + STATS + USAGE)[k:k + 1])]
        self.assertEqual((found, bits, whole.reply, whole.joined), (HEARD, HEARD, b"", "north"))
        self.assertFalse(whole.late(10 * S))

    def test_spoilt_reports_cost_themselves_only(self):
        spoilt = [STATS.replace(b'"total":9', b'"total":"9"'), STATS.replace(b'"total":9,', b""), STATS.replace(b":9,", b":-9,"),
                  STATS.replace(b'"errors":1', b'"errors":10'), STATS.replace(b"41.5", b"-1"), STATS.replace(b"41.5", b"1e300"),
                  STATS.replace(b'"locality":"north"', b'"locality":"nowhere"'), STATS.replace(b'"rtt":41.5,', b""),
                  STATS.replace(b"1000.0", b"0"), USAGE.replace(b"17", b"40"), USAGE.replace(b"view", b"x"),
                  USAGE.replace(b"client_stats", b"assign"), USAGE.replace(b'"errors":2', b'"errors":null'), b"[]\n"]
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
        for data in (b"\x16\x03\x01\x00\n", b"GET / HTTP/1.1\r\n\r\n", STATS, b'{"@type":"attach","node":1,"locality":"north"}\n',
                     b'{"@type":"telemetry","locality":"nowhere"}\n', b'{"@type":"telemetry"}\n', b"SET,1,be-1,1\n",
                     b"[" * 9000 + b"\n", b"x" * (limits.STRANGER_BYTES + 1), b'{"@type":"assign"}\n'):
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


class OnSockets(unittest.TestCase):
    def test_strangers_by_the_hundreds_are_closed_and_cost_nobody_else(self):
        async def play():
            async with stage() as (service, relay, _):
                strangers = [await client(service, b'{"@type":"hb"}\n{"half' if k % 2 else b"") for k in range(300)]
                collector = await client(service, JOIN + STATS)
                got = [await rest(stream) for stream in strangers]
                self.assertEqual(set(got), {TURNED_AWAY, ALIVE + TURNED_AWAY})
                await collector.send(b'{"@type":"hb"}\n')
                self.assertEqual(await collector.receive(), ALIVE)
                self.assertEqual((service.clients.strangers, service.post.unknown), (0, 0))
                await collector.aclose()
        anyio.run(play)


if __name__ == "__main__":
    unittest.main()

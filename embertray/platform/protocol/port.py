"""One connection at the controller's address: JSON lines in, replies and reports out.

A stranger may ask for a sign of life, and joins as a collector by its zone; whatever else it does, and when
it has not joined in time, it is turned away with one message. A collector's spoilt report costs that report,
unreadable data the connection. Reports come out as Met and Came, in our words and nanoseconds.
"""

from collections import namedtuple
from typing import Annotated

import msgspec
from msgspec import Meta

from embertray.controller.settings import LOADS

from .limits import COUNT_MOST, JOIN_WITHIN, LINE_MOST, LOAD_MOST, MS, STRANGER_BYTES, TOOK_MOST, WORD_MOST

ALIVE, TURNED_AWAY = b'{"@type":"hb_ok"}\n', b'{"@type":"reject"}\n'
Word = Annotated[str, Meta(min_length=1, max_length=WORD_MOST)]
Count = Annotated[int, Meta(ge=0, le=COUNT_MOST)]
Took = Annotated[float, Meta(ge=0, le=TOOK_MOST)]
Interval = Annotated[float, Meta(gt=0, le=TOOK_MOST)]
Load = Annotated[float, Meta(ge=0, le=LOAD_MOST)]

Met = namedtuple(
    "Met", "backend zone tries failed latency span load"
)  # tries and failed: counts; times in ns
Came = namedtuple("Came", "proxy kind requests lost span")


class Line(msgspec.Struct, tag_field="@type"):
    pass


class Alive(Line, tag="hb"):
    pass


class Telemetry(Line, tag="telemetry"):
    locality: Word


class UpstreamStats(Line, tag="upstream_stats"):
    locality: Word
    endpoint: Word
    total: Count
    errors: Count
    interval: Interval
    rtt: Took | None = None
    metrics: dict[str, Load] | None = None


class ClientStats(Line, tag="client_stats"):
    node: Count
    route: Word
    total: Count
    errors: Count
    interval: Interval


decoder = msgspec.json.Decoder(Alive | Telemetry | UpstreamStats | ClientStats)


class Port:
    """`zones` and `kinds`: names that exist, `proxies`: how many there are. After `receive`: `reply` is to be
    written (and emptied), and when `over` says why, the connection is to be closed after it."""

    def __init__(self, now, zones, kinds, proxies):
        self.zones, self.kinds, self.proxies = zones, kinds, proxies
        self.joined, self.over, self.reply, self.held = None, "", b"", bytearray()
        self.scanned, self.spoilt, self.why, self.got = (
            0,
            0,
            "",
            0,
        )  # bytes known to hold no line's end; reports passed over; bytes before joining
        self.join_by = now + JOIN_WITHIN

    def late(self, now):
        """Turned away for not joining in time; True if so."""
        if self.joined is None and not self.over and now >= self.join_by:
            self.turn_away("not joined in time")
        return bool(self.over)

    def turn_away(self, why):
        self.over, self.held = why, bytearray()
        if self.joined is None:  # nothing is ever written to a collector
            self.reply += TURNED_AWAY

    def receive(self, data):
        """The reports that `data` completes. b"" is the stream's end."""
        if self.over:
            return []
        if not data:
            self.over = "closed by the peer"
            return []
        self.held += data
        self.got += len(data) if self.joined is None else 0
        found, at = [], 0
        while not self.over and (end := self.held.find(b"\n", max(at, self.scanned))) >= 0:
            line, at, self.scanned = bytes(self.held[at:end]), end + 1, 0
            if len(line) > LINE_MOST:
                self.turn_away("a line too long")
            elif line.strip():
                self.line(line, found)
        if not self.over:
            del self.held[:at]
            self.scanned = len(self.held)
            if self.joined is None and self.got > STRANGER_BYTES:
                self.turn_away(
                    "too much before joining"
                )  # against messages without an end, or without number
            elif len(self.held) > LINE_MOST:
                self.turn_away("a line too long")
        return found

    def line(self, line, found):
        try:
            message = decoder.decode(line)
        except msgspec.ValidationError as wrong:
            if self.joined is None:
                self.turn_away(str(wrong))
            else:
                self.pass_over(str(wrong))
            return
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as wrong:
            self.turn_away(f"unreadable: {wrong}")  # what follows can't be trusted either
            return
        if isinstance(message, Alive):
            self.reply += ALIVE
        elif isinstance(message, Telemetry):
            if message.locality not in self.zones:
                self.turn_away("a collector of a zone that is not there")
            else:
                self.joined = message.locality
        elif self.joined is None:
            self.turn_away("a report before joining")
        elif isinstance(message, UpstreamStats):
            self.met(message, found)
        elif message.node >= self.proxies or message.route not in self.kinds:
            self.pass_over("a proxy or request kind that is not there")
        elif message.errors > message.total:
            self.pass_over("more errors than requests")
        else:
            found.append(
                Came(message.node, message.route, message.total, message.errors, round(message.interval * MS))
            )

    def met(self, m, found):
        if m.locality not in self.zones:
            self.pass_over("a zone that is not there")
        elif m.errors > m.total:
            self.pass_over("more errors than tries")
        elif m.rtt is None and m.total > m.errors:
            self.pass_over("no time of those done")
        else:
            load = {LOADS.get(name, name): value for name, value in (m.metrics or {}).items()}
            found.append(
                Met(
                    m.endpoint,
                    m.locality,
                    m.total,
                    m.errors,
                    round((m.rtt or 0) * MS),
                    round(m.interval * MS),
                    load,
                )
            )

    def pass_over(self, why):
        self.spoilt, self.why = self.spoilt + 1, why

"""One connection at the controller's address: JSON lines in, replies and reports out.

A peer that has not joined may send heartbeats, and joins as a collector by naming its zone. For anything
else, and when it has not joined in time, it is rejected with one message. A collector's invalid report costs
that report, unreadable data the connection.
"""

from typing import NamedTuple

import msgspec

from embertray.controller.settings import LOAD_METRICS

from .limits import JOIN_TIMEOUT_NS, LINE_MAX_BYTES, NS_PER_MS, UNJOINED_MAX_BYTES
from .wire import (
    HEARTBEAT_REPLY,
    REJECTION,
    BackendReportLine,
    CollectorJoin,
    Heartbeat,
    line_decoder,
)


class BackendReport(NamedTuple):
    """What the proxies of a zone saw of a backend over `interval`, ns."""

    backend: str
    zone: str
    attempts: int
    failures: int
    latency: int  # mean of the attempts that did not fail, ns; 0 if none
    interval: int
    load: dict  # the last load report, metric -> value


class TrafficReport(NamedTuple):
    """The requests of a kind that reached a proxy over `interval`, ns."""

    proxy: int
    request_kind: str
    requests: int
    failures: int  # admitted, and not served
    interval: int


class InboundConnection:
    """The state of one connection. After `receive`, write and empty `outgoing`, then close if `close_reason`.

    Attributes:
        zone: Of the collector that has joined; None before.
        close_reason: Why the connection is to be closed once `outgoing` is written, or "".
        outgoing: Bytes to write; whoever writes them empties it.
        invalid_reports: Reports passed over.
        last_invalid: Why the last one was.
        join_deadline: By when the peer has to join, ns.
    """

    def __init__(self, now, zones, request_kinds, proxies):
        """`zones` and `request_kinds`: names that exist; `proxies`: how many there are; `now`: ns."""
        self.zones = zones
        self.request_kinds = request_kinds
        self.proxies = proxies
        self.zone = None
        self.close_reason = ""
        self.outgoing = b""
        self.buffer = bytearray()
        self.scanned = 0  # bytes of the buffer that are known to hold no line's end
        self.bytes_before_join = 0
        self.invalid_reports = 0
        self.last_invalid = ""
        self.join_deadline = now + JOIN_TIMEOUT_NS

    def check_join_deadline(self, now):
        """Reject a peer that has not joined by `now`, ns. Returns whether the connection is to be closed."""
        if self.zone is None and not self.close_reason and now >= self.join_deadline:
            self.reject("not joined in time")
        return bool(self.close_reason)

    def reject(self, why):
        """The connection is to be closed; a peer that has not joined is notified."""
        self.close_reason = why
        self.buffer = bytearray()
        if self.zone is None:  # nothing is ever written to a collector
            self.outgoing += REJECTION

    def receive(self, data):
        """Take bytes in, b"" for the stream's end. Returns the reports that they complete."""
        if self.close_reason:
            return []
        if not data:
            self.close_reason = "closed by the peer"
            return []
        self.buffer += data
        if self.zone is None:
            self.bytes_before_join += len(data)
        reports = []
        start = 0
        while not self.close_reason and (end := self.buffer.find(b"\n", max(start, self.scanned))) >= 0:
            line = bytes(self.buffer[start:end])
            start = end + 1
            self.scanned = 0
            if len(line) > LINE_MAX_BYTES:
                self.reject("a line too long")
            elif line.strip():
                self.handle_line(line, reports)
        if not self.close_reason:
            del self.buffer[:start]
            self.scanned = len(self.buffer)
            self.check_size()
        return reports

    def check_size(self):
        """Reject a peer whose messages have no end, or no end of number before it joins."""
        if self.zone is None and self.bytes_before_join > UNJOINED_MAX_BYTES:
            self.reject("too much before joining")
        elif len(self.buffer) > LINE_MAX_BYTES:
            self.reject("a line too long")

    def handle_line(self, line, reports):
        """Act on one line, bytes without its end; put the report in it to `reports`."""
        try:
            message = line_decoder.decode(line)
        except msgspec.ValidationError as error:
            if self.zone is None:
                self.reject(str(error))
            else:
                self.skip_report(str(error))
            return
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            self.reject(f"unreadable: {error}")  # what follows can't be trusted either
            return
        if isinstance(message, Heartbeat):
            self.outgoing += HEARTBEAT_REPLY
        elif isinstance(message, CollectorJoin):
            self.join(message)
        elif self.zone is None:
            self.reject("a report before joining")
        elif isinstance(message, BackendReportLine):
            self.handle_backend_report(message, reports)
        else:
            self.handle_traffic_report(message, reports)

    def join(self, message):
        """The peer is a collector, if its zone exists."""
        if message.zone in self.zones:
            self.zone = message.zone
        else:
            self.reject("collector of an unknown zone")

    def handle_backend_report(self, message, reports):
        """Put the BackendReport of a BackendReportLine to `reports`, or skip it."""
        if message.zone not in self.zones:
            self.skip_report("unknown zone")
        elif message.failures > message.attempts:
            self.skip_report("more failures than attempts")
        elif message.latency is None and message.attempts > message.failures:
            self.skip_report("no latency of successful attempts")
        else:
            load = {LOAD_METRICS.get(name, name): value for name, value in (message.load or {}).items()}
            latency = round((message.latency or 0) * NS_PER_MS)
            interval = round(message.interval * NS_PER_MS)
            reports.append(
                BackendReport(
                    message.backend, message.zone, message.attempts, message.failures, latency, interval, load
                )
            )

    def handle_traffic_report(self, message, reports):
        """Put the TrafficReport of a TrafficReportLine to `reports`, or skip it."""
        if message.proxy >= self.proxies or message.request_kind not in self.request_kinds:
            self.skip_report("unknown proxy or request kind")
        elif message.failures > message.requests:
            self.skip_report("more failures than requests")
        else:
            interval = round(message.interval * NS_PER_MS)
            reports.append(
                TrafficReport(
                    message.proxy, message.request_kind, message.requests, message.failures, interval
                )
            )

    def skip_report(self, why):
        """Count a report that is passed over."""
        self.invalid_reports += 1
        self.last_invalid = why

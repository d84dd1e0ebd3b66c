"""One connection to the controller's listening address: JSON lines in, replies and reports out.

A peer that has not joined may send heartbeats; it joins as a collector by stating its zone. If it sends
anything else, or does not join in time, it is rejected with one message. An invalid report of a collector is
skipped; malformed data closes the connection.
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
    """What the proxies of a zone observed of a backend over `interval`, ns."""

    backend: str
    zone: str
    attempts: int
    failures: int
    latency: int  # mean of the successful attempts, ns; 0 if none
    interval: int
    load: dict  # the last load report, metric -> value


class TrafficReport(NamedTuple):
    """The requests of one kind that a proxy received over `interval`, ns."""

    proxy: int
    request_kind: str
    requests: int
    failures: int  # admitted but not served
    interval: int


class InboundConnection:
    """The state of one connection. After `receive`, write and clear `outgoing`, then close if `close_reason`.

    Attributes:
        zone: Zone of the collector; None until it has joined.
        close_reason: Why the connection is to be closed once `outgoing` is written; "" while it stays open.
        outgoing: Bytes to write; the caller that writes them clears it.
        invalid_reports: Number of reports skipped.
        last_invalid: Why the last one was skipped.
        join_deadline: When the peer must have joined, ns.
    """

    def __init__(self, now, zones, request_kinds, proxies):
        """`zones`, `request_kinds`: the valid names; `proxies`: the number of proxies; `now`: ns."""
        self.zones = zones
        self.request_kinds = request_kinds
        self.proxies = proxies
        self.zone = None
        self.close_reason = ""
        self.outgoing = b""
        self.buffer = bytearray()
        self.scanned = 0  # leading bytes of the buffer that are known to contain no newline
        self.bytes_before_join = 0
        self.invalid_reports = 0
        self.last_invalid = ""
        self.join_deadline = now + JOIN_TIMEOUT_NS

    def check_join_deadline(self, now):
        """Reject a peer that has not joined by `now`, ns. Returns whether the connection is to be closed."""
        if self.zone is None and not self.close_reason and now >= self.join_deadline:
            self.reject("did not join in time")
        return bool(self.close_reason)

    def reject(self, why):
        """Mark the connection to be closed; a peer that has not joined is sent a rejection."""
        self.close_reason = why
        self.buffer = bytearray()
        if self.zone is None:  # nothing is ever written to a collector
            self.outgoing += REJECTION

    def receive(self, data):
        """Process received bytes, b"" at the end of the stream. Returns the reports completed by them."""
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
                self.reject("line too long")
            elif line.strip():
                self.handle_line(line, reports)
        if not self.close_reason:
            del self.buffer[:start]
            self.scanned = len(self.buffer)
            self.check_size()
        return reports

    def check_size(self):
        """Reject a peer that sends an overlong line, or too many bytes before it joins."""
        if self.zone is None and self.bytes_before_join > UNJOINED_MAX_BYTES:
            self.reject("too many bytes before joining")
        elif len(self.buffer) > LINE_MAX_BYTES:
            self.reject("line too long")

    def handle_line(self, line, reports):
        """Handle one line (bytes without the newline); append the report in it to `reports`."""
        try:
            message = line_decoder.decode(line)
        except msgspec.ValidationError as error:
            if self.zone is None:
                self.reject(str(error))
            else:
                self.skip_report(str(error))
            return
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            self.reject(f"malformed line: {error}")  # the data after it can't be trusted either
            return
        if isinstance(message, Heartbeat):
            self.outgoing += HEARTBEAT_REPLY
        elif isinstance(message, CollectorJoin):
            self.join(message)
        elif self.zone is None:
            self.reject("report received before joining")
        elif isinstance(message, BackendReportLine):
            self.handle_backend_report(message, reports)
        else:
            self.handle_traffic_report(message, reports)

    def join(self, message):
        """Register the peer as a collector if its zone exists."""
        if message.zone in self.zones:
            self.zone = message.zone
        else:
            self.reject("unknown collector zone")

    def handle_backend_report(self, message, reports):
        """Append the BackendReport of a BackendReportLine to `reports`, or skip an invalid one."""
        if message.zone not in self.zones:
            self.skip_report("unknown zone")
        elif message.failures > message.attempts:
            self.skip_report("more failures than attempts")
        elif message.latency is None and message.attempts > message.failures:
            self.skip_report("latency missing for successful attempts")
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
        """Append the TrafficReport of a TrafficReportLine to `reports`, or skip an invalid one."""
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
        """Count a skipped report and keep the reason."""
        self.invalid_reports += 1
        self.last_invalid = why

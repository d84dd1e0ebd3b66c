"""Parses one connection of the relay's event stream: bytes in, proxy events out."""

from typing import NamedTuple
from urllib.parse import parse_qsl

from . import wire
from .exceptions import UnreadableEventStreamError
from .limits import EVENT_MAX_BYTES, NS_PER_MS


class ProxyJoined(NamedTuple):
    """A proxy of a zone is connected to the relay; `rate`: its approximate requests per second."""

    proxy: int
    zone: str
    rate: float
    without_table: bool  # it has no table from a controller


class ProxyLeft(NamedTuple):
    """A proxy is no longer connected to the relay."""

    proxy: int


class NonceAcknowledged(NamedTuple):
    """A proxy has applied all orders up to the request with this nonce, which took `apply_time`, ns."""

    proxy: int
    nonce: int
    apply_time: int


class EventStreamParser:
    """Parses the stream into events; unknown events and events of unknown proxies or zones are skipped.

    Attributes:
        skipped: Number of skipped events.
    """

    def __init__(self, zones, proxies):
        """`zones`: the valid names; `proxies`: the number of proxies, which are numbered from 0."""
        self.zones = zones
        self.proxies = proxies
        self.buffer = b""  # an incomplete line
        self.event_kind = ""
        self.event_data = ""
        self.skipped = 0

    def receive(self, data):
        """Process received bytes.

        Returns:
            The events completed by them.

        Raises:
            UnreadableEventStreamError: they are not valid UTF-8, or an event exceeds EVENT_MAX_BYTES.
        """
        lines = (self.buffer + data).split(b"\n")
        self.buffer = lines.pop()
        if len(self.buffer) + len(self.event_data) > EVENT_MAX_BYTES:
            raise UnreadableEventStreamError("event too large")
        events = []
        for line in lines:
            try:
                name, _, value = line.rstrip(b"\r").decode().partition(":")
            except UnicodeDecodeError as error:
                raise UnreadableEventStreamError(str(error)) from None
            value = value.removeprefix(" ")
            if name == wire.EVENT_NAME:
                self.event_kind = value
            elif name == wire.EVENT_DATA:
                self.event_data += "&" * bool(self.event_data) + value
            elif not name and not value and (self.event_kind or self.event_data):
                self.finish_event(events)
        return events

    def finish_event(self, events):
        """Finish an event at an empty line: append it to `events`, or skip it."""
        event = self.parse_event(self.event_kind, dict(parse_qsl(self.event_data)))
        self.event_kind = ""
        self.event_data = ""
        if event:
            events.append(event)
        else:
            self.skipped += 1

    def parse_event(self, kind, fields):
        """Parse an event from its kind and fields on the wire; None if it is unknown or invalid."""
        try:
            proxy = int(fields[wire.KEY_PROXY])
            if not 0 <= proxy < self.proxies:
                return None
            if kind == wire.EVENT_PROXY_JOINED:
                return self.parse_join(proxy, fields)
            if kind == wire.EVENT_PROXY_LEFT:
                return ProxyLeft(proxy)
            if kind == wire.EVENT_NONCE_ACKNOWLEDGED:
                apply_time = float(fields.get(wire.KEY_APPLY_TIME, 0))
                return NonceAcknowledged(
                    proxy, int(fields[wire.KEY_NONCE]), max(0, round(apply_time * NS_PER_MS))
                )
        except (KeyError, ValueError, OverflowError):
            pass
        return None

    def parse_join(self, proxy, fields):
        """Parse a ProxyJoined from an event's fields; None if invalid. Raises KeyError, ValueError."""
        rate = float(fields.get(wire.KEY_RATE, 0))
        zone = fields[wire.KEY_ZONE]
        if zone not in self.zones or not 0 <= rate < float("inf"):
            return None
        return ProxyJoined(proxy, zone, rate, fields.get(wire.KEY_WITHOUT_TABLE) == wire.TRUE)

"""Every word of the platform's wire, with the term that the rest of the package uses for it.

Messages are structs whose fields are named by their terms; `field(name=...)` gives the word on the wire.
Paths, verbs, event kinds and keys are constants. No other module of the package spells a word of the wire.
Metrics of load reports and the settings are named by `embertray.controller.settings`, for the bench's wire
alike.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta, Raw, field

from .limits import COUNT_MAX, LOAD_VALUE_MAX, NAME_MAX_CHARACTERS, NS_PER_MS, REPORT_TIME_MAX_MS

Name = Annotated[str, Meta(min_length=1, max_length=NAME_MAX_CHARACTERS)]
Count = Annotated[int, Meta(ge=0, le=COUNT_MAX)]
MeanTime = Annotated[float, Meta(ge=0, le=REPORT_TIME_MAX_MS)]  # ms
Interval = Annotated[float, Meta(gt=0, le=REPORT_TIME_MAX_MS)]  # ms
LoadValue = Annotated[float, Meta(ge=0, le=LOAD_VALUE_MAX)]
UnixTime = Annotated[float, Meta(ge=0, le=1e15)]  # ms

# ---- lines at the controller's address

HEARTBEAT_REPLY = b'{"@type":"hb_ok"}\n'
REJECTION = b'{"@type":"reject"}\n'


class Line(msgspec.Struct, tag_field="@type"):
    """A line at the controller's address; `@type` names its kind."""


class Heartbeat(Line, tag="hb"):
    """A health check, answered by HEARTBEAT_REPLY."""


class CollectorJoin(Line, tag="telemetry"):
    """A collector states the zone whose reports it forwards."""

    zone: Name = field(name="locality")


class BackendReportLine(Line, tag="upstream_stats"):
    """What the proxies of a zone saw of a backend over an interval, ms."""

    zone: Name = field(name="locality")
    backend: Name = field(name="endpoint")
    attempts: Count = field(name="total")
    failures: Count = field(name="errors")
    interval: Interval
    latency: MeanTime | None = field(name="rtt", default=None)  # mean of the attempts that did not fail, ms
    load: dict[str, LoadValue] | None = field(name="metrics", default=None)


class TrafficReportLine(Line, tag="client_stats"):
    """The requests of a kind that reached a proxy over an interval, ms."""

    proxy: Count = field(name="node")
    request_kind: Name = field(name="route")
    requests: Count = field(name="total")
    failures: Count = field(name="errors")  # admitted, and not served
    interval: Interval


line_decoder = msgspec.json.Decoder(Heartbeat | CollectorJoin | BackendReportLine | TrafficReportLine)

# ---- discovery

LIST_PATH = "/catalog/members"
WATCH_PATH = LIST_PATH + "?from=%d&hold_ms=%d"  # the revision that is cached, ms that the answer may wait


class Endpoint(msgspec.Struct):
    """One backend of the list; its fields are those that Runner.receive_list_update reads."""

    backend: Name = field(name="id")
    zone: Name = field(name="locality", default="")
    state: Literal["ready", "draining", "gone"] = field(name="phase", default="ready")
    nominal: Annotated[float, Meta(ge=0)] = field(name="size", default=1.0)
    started_ms: UnixTime = field(name="up_since_ms", default=0)  # Unix time, ms; 0: long ago

    @property
    def started(self):
        """When the backend last started, Unix time in ns; 0 for long ago."""
        return int(self.started_ms * NS_PER_MS)


class EndpointList(msgspec.Struct):
    """The whole list (`complete`) or what changed since the revision that a watch named."""

    revision: Annotated[int, Meta(ge=0)] = 0
    complete: bool = True
    endpoints: list[Endpoint] = field(name="members", default_factory=list)


list_decoder = msgspec.json.Decoder(EndpointList)

# ---- the relay's calls

CALLS_PATH = "/api/"
CALL_CONTENT_TYPE = "application/x-www-form-urlencoded"
CALL_ACTION = ("Action", "CommitChanges")
CALL_ORDERS = "orders"
ORDER_SEPARATOR = ";"

# verbs of orders, with what follows each, set off by commas
SET_LINE = "SET"  # table, backend, weight
BIND = "USE"  # proxy, table, request kinds
EJECT = "OUT"  # backend
READMIT = "IN"  # backend
SET_LEVEL = "LIMIT"  # table, request kinds, level, retry mode
ACKNOWLEDGEMENT_REQUEST = "SYNC"  # nonce, acknowledging proxies: ACKNOWLEDGED_BY_...
ACKNOWLEDGED_BY_BOUND = 0
ACKNOWLEDGED_BY_ALL = 1
ALL_KINDS = "*"
KIND_SEPARATOR = "+"

# answers
ANSWER_ROOT = "Response"
ANSWER_ACCEPTED = "./items/item/ok_count"  # how many orders were taken, from the first on
ANSWER_ERRORS = ("code", "error")  # elements, in small letters, that may hold an error's code
ERROR_THROTTLED = "throttled"  # not before the run begins
ERROR_INVALID = "invalid"  # the call is none

# ---- the relay's event stream

EVENTS_PATH = "/api/stream"
EVENT_NAME = "event"
EVENT_DATA = "data"
EVENT_PROXY_JOINED = "attach"
EVENT_PROXY_LEFT = "detach"
EVENT_NONCE_ACKNOWLEDGED = "done"
KEY_PROXY = "node"
KEY_ZONE = "locality"
KEY_RATE = "w"  # requests a second
KEY_WITHOUT_TABLE = "cold"
KEY_NONCE = "nonce"
KEY_APPLY_TIME = "latency"  # ms
TRUE = "1"

# ---- the configuration


class ResourceLimits(msgspec.Struct):
    """What the process may take: cores, MB of memory, file descriptors."""

    cores: float = 1.0
    memory_mb: float = 0.0
    descriptors: int = field(name="sockets", default=1024)


class RelayAddress(msgspec.Struct):
    """Where the relay listens, as host:port."""

    address: str


class ControllerConfiguration(msgspec.Struct):
    """One controller's configuration; addresses are host:port.

    `settings` are read by StartSettings; `known` is the list as this controller last cached it, not yet
    decoded.
    """

    name: str
    listen: str
    discovery: str
    relay: RelayAddress = field(name="store")
    settings: dict
    seed: str = "0"  # hexadecimal, new with each start
    limits: ResourceLimits = field(default_factory=ResourceLimits)
    known: Raw = field(default_factory=lambda: Raw(b"{}"))

    @property
    def numeric_seed(self):
        """The seed as a whole number."""
        try:
            return int(self.seed, 16)
        except ValueError:
            return int.from_bytes(self.seed.encode()[:16], "big")

    def known_list(self):
        """The list as it was last cached, or an empty one if it can't be read.

        It may be out of date anyway, and a controller that refused to start for it would serve nobody.
        """
        try:
            return list_decoder.decode(self.known)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return EndpointList()


configuration_decoder = msgspec.json.Decoder(ControllerConfiguration)

"""The wire format of the platform: every name on the wire, mapped to the package's own term for it.

Messages are structs whose fields have the package's names; `field(name=...)` gives the name on the wire.
Paths, verbs, event kinds and keys are constants. No other module of the package contains names of the wire.
`embertray.controller.settings` defines the names of settings and of metrics in load reports, because
`embertray.benchlink` uses them, too.
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

# ---- lines received at the controller's listening address

HEARTBEAT_REPLY = b'{"@type":"hb_ok"}\n'
REJECTION = b'{"@type":"reject"}\n'


class Line(msgspec.Struct, tag_field="@type"):
    """A line received at the controller's listening address; `@type` is its kind."""


class Heartbeat(Line, tag="hb"):
    """A health check, answered by HEARTBEAT_REPLY."""


class CollectorJoin(Line, tag="telemetry"):
    """A collector states the zone whose reports it forwards."""

    zone: Name = field(name="locality")


class BackendReportLine(Line, tag="upstream_stats"):
    """What the proxies of a zone observed of a backend over an interval, ms."""

    zone: Name = field(name="locality")
    backend: Name = field(name="endpoint")
    attempts: Count = field(name="total")
    failures: Count = field(name="errors")
    interval: Interval
    latency: MeanTime | None = field(name="rtt", default=None)  # mean of the successful attempts, ms
    load: dict[str, LoadValue] | None = field(name="metrics", default=None)


class TrafficReportLine(Line, tag="client_stats"):
    """The requests of one kind that a proxy received over an interval, ms."""

    proxy: Count = field(name="node")
    request_kind: Name = field(name="route")
    requests: Count = field(name="total")
    failures: Count = field(name="errors")  # admitted but not served
    interval: Interval


line_decoder = msgspec.json.Decoder(Heartbeat | CollectorJoin | BackendReportLine | TrafficReportLine)

# ---- discovery

LIST_PATH = "/catalog/members"
WATCH_PATH = LIST_PATH + "?from=%d&hold_ms=%d"  # the cached revision; ms for which the answer may be delayed


class Endpoint(msgspec.Struct):
    """One backend of the list, with the fields that Runner.receive_list_update reads."""

    backend: Name = field(name="id")
    zone: Name = field(name="locality", default="")
    state: Literal["ready", "draining", "gone"] = field(name="phase", default="ready")
    nominal: Annotated[float, Meta(ge=0)] = field(name="size", default=1.0)
    started_ms: UnixTime = field(name="up_since_ms", default=0)  # Unix time, ms; 0 if long ago

    @property
    def started(self):
        """When the backend last started, Unix time in ns; 0 if long ago."""
        return int(self.started_ms * NS_PER_MS)


class EndpointList(msgspec.Struct):
    """The complete list (`complete`), or the changes since the revision named in a watch."""

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

# verbs of orders; comments list their comma-separated arguments
SET_LINE = "SET"  # table, backend, weight
BIND = "USE"  # proxy, table, request kinds
EJECT = "OUT"  # backend
READMIT = "IN"  # backend
SET_LEVEL = "LIMIT"  # table, request kinds, level, retry mode
ACKNOWLEDGEMENT_REQUEST = "SYNC"  # nonce, one of the two values below
ACKNOWLEDGED_BY_BOUND = 0  # by the proxies that the orders of the call reach
ACKNOWLEDGED_BY_ALL = 1  # by every proxy
ALL_KINDS = "*"
KIND_SEPARATOR = "+"

# answers
ANSWER_ROOT = "Response"
ANSWER_ACCEPTED = "./items/item/ok_count"  # number of orders accepted, counting from the first
ANSWER_ERRORS = ("code", "error")  # lower-case names of elements that may contain an error code
ERROR_THROTTLED = "throttled"  # only after the run has begun
ERROR_INVALID = "invalid"  # the call is malformed

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
    """The resources that the process may use: cores, MB of memory, file descriptors."""

    cores: float = 1.0
    memory_mb: float = 0.0
    descriptors: int = field(name="sockets", default=1024)


class RelayAddress(msgspec.Struct):
    """The listening address of the relay, as host:port."""

    address: str


class ControllerConfiguration(msgspec.Struct):
    """One controller's configuration; addresses are host:port.

    `settings` are parsed by StartSettings; `known` is the endpoint list that this controller cached last, not
    yet decoded.
    """

    name: str
    listen: str
    discovery: str
    relay: RelayAddress = field(name="store")
    settings: dict
    seed: str = "0"  # hexadecimal, different at each start
    limits: ResourceLimits = field(default_factory=ResourceLimits)
    known: Raw = field(default_factory=lambda: Raw(b"{}"))

    @property
    def numeric_seed(self):
        """The seed as an integer."""
        try:
            return int(self.seed, 16)
        except ValueError:
            return int.from_bytes(self.seed.encode()[:16], "big")

    def known_list(self):
        """The endpoint list as last cached, or an empty one if it can't be decoded.

        The cached list may be out of date anyway, so a corrupt one is no reason to refuse to start.
        """
        try:
            return list_decoder.decode(self.known)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return EndpointList()


configuration_decoder = msgspec.json.Decoder(ControllerConfiguration)

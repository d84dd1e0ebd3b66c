"""Types of the events that the policy takes and of the orders that it returns.

Times are whole nanoseconds. Handles stand for backends, proxies, zones, tables and nonces; the caller keeps
their ids and passes the same handle for the same thing each time.
"""

from dataclasses import dataclass, field


class Handle:
    """Reference to something outside of the policy.

    Args:
        external_id: id assigned by the caller.

    Attributes:
        policy_state: the policy's state of it; None while unknown to the policy.
    """

    def __init__(self, external_id=None):
        self.external_id = external_id
        self.policy_state = None


class Backend(Handle):
    """A backend, one for each address."""


class Proxy(Handle):
    """A proxy, one for each name."""


class Zone(Handle):
    """A zone of backends and proxies."""


class Table(Handle):
    """A routing table; the caller assigns its id at its first order (a slice's table has one already)."""


class Nonce(Handle):
    """A nonce that proxies acknowledge; the caller assigns its id at its first order."""


@dataclass(eq=False)
class RequestKind:
    """A request kind: latency objective, priority weight, and whether requests may be retried."""

    latency_objective: int  # ns
    client_timeout: int  # ns
    credit: float = 1.0  # priority weight of a request
    again: str = "replayable"  # replayable (idempotent) | deduplicated (by a key) | non-replayable
    group: str = "all"  # for deduplicated, backends that share the keys: all | zone | cell
    external_id: object = None  # its name in the settings


@dataclass(eq=False)
class Deployment:
    """Configuration of a controller instance, fixed at its start."""

    kinds: list
    zones: list
    home: Zone = None
    controllers: int = 1
    proxies: int = 0
    ask: bool = False  # the endpoint list is polled
    ask_within: int = 0  # ns without a subscription after which the list counts as received (polled only)
    may_probe: bool = False  # health checks are permitted
    throttle: str = "none"  # unit of admission levels: share | rate | none
    pick: str = "weighted"  # how proxies pick a line: weighted | round (robin) | two (the less busy of two)
    retry_base: int = 0  # retry mode of proxies where no level sets one
    slices: int = 0  # number of slices that own the tables; 0: zones own the tables
    no_backend_limit: int = 0  # ns that a proxy may be without a usable backend; 0: no limit
    pending_max: float = 0.0  # maximum lines pending in the channel
    channel_rate: float = 0.0  # lines a second
    head: float = 0.0  # overhead of a message, lines
    channel_delay_mean: int = 0  # ns from the channel to a proxy, mean
    channel_delay_max: int = 0  # ns from the channel to a proxy, maximum
    messages_max: int = 0  # messages to one proxy within messages_window; 0: no limit
    messages_window: int = 0  # ns
    report_interval: int = 0  # ns between two load reports
    cold_speed: float = 1.0  # share of its full speed that a backend starts with
    warm_up_time: int = 0  # ns from the start of a backend to its full speed
    overload_multiple: float = 0.0  # times its momentary capacity: load that makes a cold backend fail
    overload_time: int = 0  # ns of such load until it fails
    drain_grace: int = 0  # ns after a drain notice within which proxies have to stop sending requests there
    cross_zone_cost: float = 0.0  # cost of a cross-zone request
    omission_removes: bool = True  # the drain rule treats a backend that the list omits as gone


# ---- events; no rule uses TimerFired, ProbeResult, PeerMessage or the events of slices


@dataclass(eq=False)
class Endpoint:
    """An entry of the endpoint list."""

    backend: Backend
    zone: Zone
    state: str = "ready"  # ready | draining | gone
    started: int = 0  # ns; time of its last start; 0: long ago
    nominal: float = 1.0  # capacity as listed; the policy learns its own estimate


@dataclass(eq=False)
class EndpointListUpdate:
    """An update of the endpoint list, or a failed request for it."""

    how: str  # changes | whole | cached | failed
    entries: list = field(default_factory=list)


@dataclass(eq=False)
class TimerFired:
    """An ordered timer fired."""

    label: int


@dataclass(eq=False)
class ProbeResult:
    """The result of a health check."""

    backend: Backend
    answered: bool
    took: int = 0  # ns
    load: dict = field(default_factory=dict)


@dataclass(eq=False)
class ProxyJoined:
    """A proxy opened its stream."""

    proxy: Proxy
    zone: Zone
    rate: float = 0.0  # requests a second that it usually receives
    fresh: bool = False  # holds only its standing table


@dataclass(eq=False)
class ProxyLeft:
    """A proxy's stream broke."""

    proxy: Proxy


@dataclass(eq=False)
class BackendReport:
    """A load report: totals of the attempts that the proxies of a zone made at a backend within `span`."""

    backend: Backend
    zone: Zone
    tries: int
    failed: int = 0
    latency: int = 0  # ns; mean of the answered attempts; 0 if none
    span: int = 0  # ns
    load: dict = field(default_factory=dict)


@dataclass(eq=False)
class ArrivalReport:
    """Requests of a kind that reached a proxy within `span`, including retries and rejected requests."""

    proxy: Proxy
    kind: RequestKind
    requests: int
    lost: int = 0
    span: int = 0  # ns


@dataclass(eq=False)
class SliceArrivals:
    """Requests of a kind that reached a slice within `span`."""

    table: Table
    kind: RequestKind
    requests: int
    lost: int = 0
    span: int = 0  # ns


@dataclass(eq=False)
class SliceAssigned:
    """A slice was assigned to this controller or taken from it."""

    table: Table
    ours: bool


@dataclass(eq=False)
class SliceLine:
    """An existing line of a slice's table."""

    table: Table
    backend: Backend
    weight: float


@dataclass(eq=False)
class NonceAcknowledged:
    """A proxy applied the message with the nonce, and all before it."""

    proxy: Proxy
    nonce: Nonce
    took: int = 0  # ns from the order


@dataclass(eq=False)
class PeerMessage:
    """A message from another controller."""

    sender: int
    data: bytes = b""


# ---- orders; no rule issues Probe or PollEndpointList


@dataclass(eq=False)
class SetLine:
    """Sets or removes a line of a table."""

    table: Table
    backend: Backend
    weight: float  # 0 removes the line


@dataclass(eq=False)
class Bind:
    """Binds a proxy to a table, which replaces any table that it holds."""

    proxy: Proxy
    table: Table


@dataclass(eq=False)
class Withdraw:
    """Tells unbound proxies to stop using a backend of the table they hold, or to use it again."""

    backend: Backend
    out: bool


@dataclass(eq=False)
class SetAdmission:
    """Sets the admission level and retry mode of some request kinds at a table's proxies."""

    table: Table
    kinds: list  # empty: all kinds
    level: float  # share of the requests, or requests a second at each proxy
    retry: int  # 0: never, 1: after proof that it never ran, 2: once, 3: twice after any failure


@dataclass(eq=False)
class RequestAcknowledgement:
    """Attaches a nonce to all orders of this step, which each affected proxy acknowledges."""

    nonce: Nonce


@dataclass(eq=False)
class SetTimer:
    """Orders a timer."""

    label: int
    after: int  # ns


@dataclass(eq=False)
class Subscribe:
    """Subscribes to the endpoint list, or unsubscribes."""

    on: bool = True


@dataclass(eq=False)
class PollEndpointList:
    """Polls the endpoint list once."""


@dataclass(eq=False)
class Probe:
    """Orders a health check."""

    backend: Backend


@dataclass(eq=False)
class Log:
    """A log line."""

    text: str

"""The types of what goes into the decisions and of what comes out.

Times are whole nanoseconds. What the decisions point at (backends, proxies, zones, tables, nonces) are
objects; whoever feeds the decisions keeps the ids and gives the same object for the same thing each time.
"""

from dataclasses import dataclass, field


class Handle:
    """Something outside of the decisions.

    Args:
        external_id: the feeder's id for it.

    Attributes:
        actor: the decisions' own state of it; None until they know it.
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
    """A routing table; the feeder numbers it when it is first ordered (a slice's table comes numbered)."""


class Nonce(Handle):
    """A nonce that proxies acknowledge; the feeder numbers it when it is first ordered."""


@dataclass(eq=False)
class RequestKind:
    """One request kind: its latency objective, its weight, and whether a request may run again."""

    latency_objective: int  # ns; the latency objective
    client_timeout: int  # ns
    credit: float = 1.0  # priority weight of a request
    again: str = "replayable"  # replayable (idempotent) | deduplicated (by a key) | non-replayable
    group: str = "all"  # for deduplicated: whose backends share the keys: all | zone | cell
    external_id: object = None  # its name in the settings


@dataclass(eq=False)
class Deployment:
    """What an instance is told at its start."""

    kinds: list
    zones: list
    home: Zone = None
    controllers: int = 1
    proxies: int = 0
    ask: bool = False  # the endpoint list is polled
    ask_within: int = 0  # ns without a subscription after which the list counts as told (polled only)
    may_probe: bool = False  # health checks are permitted
    throttle: str = "none"  # what admission levels are: share | rate | none
    pick: str = "weighted"  # how proxies pick a line: weighted | round (robin) | two (the idler of two)
    retry_base: int = 0  # how proxies retry where no level says so
    slices: int = 0  # how many slices the tables belong to; 0: tables belong to zones
    no_backend_limit: int = 0  # ns that a proxy may be without a usable backend; 0: no limit
    pending_max: float = 0.0  # lines that may wait in the channel
    channel_rate: float = 0.0  # lines a second
    head: float = 0.0  # lines a message costs beyond its own
    channel_delay_mean: int = 0  # ns from the channel to a proxy
    channel_delay_max: int = 0  # ns from the channel to a proxy
    messages_max: int = 0  # messages to one proxy within messages_window; 0: no limit
    messages_window: int = 0  # ns
    report_interval: int = 0  # ns between two load reports
    cold_speed: float = 1.0  # share of its speed that a backend starts with
    warm_up_time: int = 0  # ns from its start until it has its full speed
    overload_multiple: float = 0.0  # times what a cold backend can do, under which it falls over
    overload_time: int = 0  # ns of such a load until it falls over
    drain_grace: int = 0  # ns from a drain's notice within which proxies have to stop sending there
    cross_zone_cost: float = 0.0  # cost of a request that crosses zones
    omission_removes: bool = True  # a backend that the list leaves out counts as gone for the drain rule


# ---- what happens; TimerFired, ProbeResult, PeerMessage and the events of slices are used by no rule today


@dataclass(eq=False)
class Endpoint:
    """One backend as the endpoint list has it."""

    backend: Backend
    zone: Zone
    state: str = "ready"  # ready | draining | gone
    started: int = 0  # ns; when it last started; 0: long ago
    nominal: float = 1.0  # capacity as listed; the decisions learn their own


@dataclass(eq=False)
class EndpointListUpdate:
    """What the endpoint list said, or that it did not answer."""

    how: str  # changes | whole | cached | failed
    entries: list = field(default_factory=list)


@dataclass(eq=False)
class TimerFired:
    """A timer that was ordered is due."""

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
    """A proxy's stream stands."""

    proxy: Proxy
    zone: Zone
    rate: float = 0.0  # requests a second that it usually gets
    fresh: bool = False  # holds its standing table only


@dataclass(eq=False)
class ProxyLeft:
    """A proxy's stream broke."""

    proxy: Proxy


@dataclass(eq=False)
class BackendReport:
    """A load report: what the proxies of a zone met at a backend within `span`."""

    backend: Backend
    zone: Zone
    tries: int
    failed: int = 0
    latency: int = 0  # ns; mean of those answered; 0 if none
    span: int = 0  # ns
    load: dict = field(default_factory=dict)


@dataclass(eq=False)
class ArrivalReport:
    """Requests of a kind that reached a proxy within `span`, retries and rejected ones included."""

    proxy: Proxy
    kind: RequestKind
    requests: int
    lost: int = 0
    span: int = 0  # ns


@dataclass(eq=False)
class SliceArrivals:
    """Requests of a kind that reached a slice."""

    table: Table
    kind: RequestKind
    requests: int
    lost: int = 0
    span: int = 0  # ns


@dataclass(eq=False)
class SliceAssigned:
    """Whether a slice is this controller's."""

    table: Table
    ours: bool


@dataclass(eq=False)
class SliceLine:
    """A line that a slice's table holds."""

    table: Table
    backend: Backend
    weight: float


@dataclass(eq=False)
class NonceAcknowledged:
    """A proxy has applied the message that carried the nonce, and all before it."""

    proxy: Proxy
    nonce: Nonce
    took: int = 0  # ns from the order


@dataclass(eq=False)
class PeerMessage:
    """A message of another controller."""

    sender: int
    data: bytes = b""


# ---- what is ordered; Probe and PollEndpointList are ordered by no rule today


@dataclass(eq=False)
class SetLine:
    """Sets or removes a line of a table."""

    table: Table
    backend: Backend
    weight: float  # 0 removes the line


@dataclass(eq=False)
class Bind:
    """Gives a proxy a table: it follows that alone from now on."""

    proxy: Proxy
    table: Table


@dataclass(eq=False)
class Withdraw:
    """Tells proxies that are not bound to leave a backend out of whatever they hold, or to use it again."""

    backend: Backend
    out: bool


@dataclass(eq=False)
class SetAdmission:
    """Sets how much of some request kinds a table's proxies admit, and how they retry them."""

    table: Table
    kinds: list  # empty: all kinds
    level: float  # a share, or requests a second at each proxy
    retry: int  # 0 never, 1 after proof that it never ran, 2 once, 3 twice after any failure


@dataclass(eq=False)
class RequestAcknowledgement:
    """All orders of this step carry a nonce, which each proxy concerned acknowledges."""

    nonce: Nonce


@dataclass(eq=False)
class SetTimer:
    """Orders a timer."""

    label: int
    after: int  # ns


@dataclass(eq=False)
class Subscribe:
    """Subscribes to the endpoint list, or ends that."""

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

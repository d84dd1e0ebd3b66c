"""What goes into the decision module and what comes out, in our own words.

Times are whole nanoseconds. Things the module points at (backends, proxies, zones, tables, nonces) are
objects; whoever feeds the module keeps the ids and gives the same object for the same thing each time.
"""

from dataclasses import dataclass, field


class Handle:
    """One outside thing. `external_id` is the feeder's id for it; `actor` is the module's own part of it."""

    def __init__(self, external_id=None):
        self.external_id = external_id
        self.actor = None


class Backend(Handle):
    pass


class Proxy(Handle):
    pass


class Zone(Handle):
    pass


class Table(Handle):
    """A routing table; the feeder numbers it when it is first ordered (a slice's table comes numbered)."""


class Nonce(Handle):
    """A mark that proxies answer; the feeder numbers it when it is first ordered."""


@dataclass(eq=False)
class RequestKind:
    """One request kind: what a request earns, by when, and whether it may run again."""

    response_target: int
    client_timeout: int
    credit: float = 1.0
    again: str = "replayable"  # replayable | deduplicated | non-replayable
    group: str = "all"  # for deduplicated: who throws repeats away: all | zone | cell
    external_id: object = None  # its name in the settings


@dataclass(eq=False)
class Deployment:
    """What an instance is told at its start."""

    kinds: list
    zones: list
    home: Zone = None
    controllers: int = 1
    proxies: int = 0
    ask: bool = False  # the list answers only when asked
    ask_within: int = 0  # deemed told after this long without a subscription (ask only)
    may_probe: bool = False
    throttle: str = "none"  # share | rate | none
    pick: str = "weighted"  # weighted | round | two
    retry_base: int = 0  # the way of trying again where no level says one
    slices: int = 0
    bare_limit: int = 0
    pending_max: float = 0.0  # lines that may wait in the channel
    channel_rate: float = 0.0  # lines a second
    head: float = 0.0  # lines a message costs beyond its own
    way_mean: int = 0
    way_max: int = 0
    messages_max: int = 0  # messages to one proxy within messages_window; 0: no limit
    messages_window: int = 0
    report_cycle: int = 0
    cold_from: float = 1.0
    warm_after: int = 0
    fall_multiple: float = 0.0
    fall_after: int = 0
    drain_grace: int = 0
    cross_fee: float = 0.0  # points for a request that crosses zones
    drops_bind: bool = True  # a backend the list drops counts as gone for the drain rule


# ---- what happens


@dataclass(eq=False)
class Entry:
    """One backend as the list has it."""

    backend: Backend
    zone: Zone
    state: str = "ready"  # ready | draining | gone
    started: int = 0  # when it last started; 0: long ago
    nominal: float = 1.0


@dataclass(eq=False)
class ListNews:
    how: str  # changes | whole | cached | failed
    entries: list = field(default_factory=list)


@dataclass(eq=False)
class WakeDue:
    label: int


@dataclass(eq=False)
class ProbeDone:
    backend: Backend
    answered: bool
    took: int = 0
    load: dict = field(default_factory=dict)


@dataclass(eq=False)
class Joined:
    proxy: Proxy
    zone: Zone
    rate: float = 0.0  # requests a second that it usually gets
    fresh: bool = False  # holds its standing table only


@dataclass(eq=False)
class Left:
    proxy: Proxy


@dataclass(eq=False)
class Heard:
    """What the proxies of a zone met at a backend."""

    backend: Backend
    zone: Zone
    tries: int
    failed: int = 0
    latency: int = 0  # mean of those done; 0 if none
    span: int = 0
    load: dict = field(default_factory=dict)


@dataclass(eq=False)
class Arrivals:
    """Requests of a kind that reached a proxy, repeats and denied ones included."""

    proxy: Proxy
    kind: RequestKind
    requests: int
    lost: int = 0
    span: int = 0


@dataclass(eq=False)
class SliceArrivals:
    table: Table
    kind: RequestKind
    requests: int
    lost: int = 0
    span: int = 0


@dataclass(eq=False)
class SliceGiven:
    table: Table
    ours: bool


@dataclass(eq=False)
class SliceLine:
    table: Table
    backend: Backend
    weight: float


@dataclass(eq=False)
class Answered:
    proxy: Proxy
    nonce: Nonce
    took: int = 0


@dataclass(eq=False)
class PeerNote:
    sender: int
    data: bytes = b""


# ---- what is ordered


@dataclass(eq=False)
class SetLine:
    table: Table
    backend: Backend
    weight: float  # 0 removes the line


@dataclass(eq=False)
class Bind:
    proxy: Proxy
    table: Table


@dataclass(eq=False)
class Withdraw:
    backend: Backend
    out: bool


@dataclass(eq=False)
class SetLevel:
    table: Table
    kinds: list  # empty: all kinds
    level: float  # a share, or requests a second at each proxy
    retry: int  # 0 none, 1 after proof it never ran, 2 once, 3 twice after any failure


@dataclass(eq=False)
class PutNonce:
    nonce: Nonce


@dataclass(eq=False)
class Wake:
    label: int
    after: int


@dataclass(eq=False)
class Subscribe:
    on: bool = True


@dataclass(eq=False)
class AskList:
    pass


@dataclass(eq=False)
class Probe:
    backend: Backend


@dataclass(eq=False)
class Log:
    text: str

"""Names and values of the simulator's wire protocol, with the terms that the rest of the package uses.

A line is a name followed by key=value pairs, separated by spaces. Times on the wire are microseconds; here
they are nanoseconds. `embertray.controller.settings` reads the settings in a start line.
"""

from collections.abc import Callable
from typing import NamedTuple

from embertray.controller.settings import NS_PER_US, parse_float

from .exceptions import WireError

# ---- names of incoming lines

BATCH_BEGIN = "SYNC"
BATCH_END = "FLUSH"
RECIPIENT = "FOR"
START = "ENLIST"
KILL = "KILLED"
LIST_UPDATE = "DIRECTORY_UPDATE"
LIST_ENTRY = "ITEM"
TIMER_FIRED = "TICK_DUE"
PROBE_RESULT = "CHECK_RESULT"
PEER_MESSAGE = "PEER_DATA"
PROXY_JOINED = "STREAM_UP"
PROXY_LEFT = "DETACHED"
BACKEND_REPORT = "STATS"
ARRIVAL_REPORT = "TRAFFIC"
SLICE_ARRIVALS = "HEAT"
SLICE_ASSIGNED = "LEASED"
SLICE_LINE = "LEDGER_LINE"
NONCE_ACKNOWLEDGED = "CONFIRMED"

# ---- values

STATES = {0: "draining", 1: "gone", 2: "ready"}  # of an endpoint list entry
STATE_READY = 2
LIST_KINDS = {0: "changes", 1: "whole", 2: "cached", 3: "failed"}  # as in interface.EndpointListUpdate
PROBE_ANSWERED = 1
NO_DATA = "-"


def parse_boolean(text):
    """Parses "0" or "1". Raises ValueError for other texts."""
    if text in ("0", "1"):
        return text == "1"
    raise ValueError(text)


def parse_microseconds(text):
    """Parses a time on the wire to ns. Raises ValueError."""
    return int(text) * NS_PER_US


# ---- fields of lines


class Field(NamedTuple):
    """A field of a line: key on the wire, term, parser (raises ValueError), whether it is required."""

    key: str
    term: str
    parse: Callable
    required: bool = False


BACKEND = Field("backend", "backend", str, True)
PROXY = Field("proxy", "proxy", int, True)
TABLE = Field("route-table", "table", int, True)
REQUEST_KIND = Field("class", "request_kind", str, True)
ZONE = Field("rack-zone", "zone", str)
INTERVAL = Field("window-us", "interval", parse_microseconds)
ATTEMPTS = Field("total", "attempts", int, True)
REQUESTS = Field("total", "requests", int, True)
FAILURES = Field("lost", "failures", int)
LOAD = Field("stats", "load", str)
LATENCY = Field("took-us", "latency", parse_microseconds)
APPLY_TIME = Field("took-us", "apply_time", parse_microseconds)
LIST_KIND = Field("kind", "kind", int, True)
ENTRIES = Field("rows-in", "entries", int)
STATE = Field("health", "state", int)
DATA = Field("blob", "data", str)

# name of a line -> its fields, in the order in which they are checked; other keys are ignored
FIELDS = {
    BATCH_BEGIN: (Field("t-us", "now", parse_microseconds, True), Field("batch", "batch", int, True)),
    RECIPIENT: (Field("who", "controller", int, True),),
    START: (Field("salt", "seed", int, True),),
    KILL: (),
    LIST_UPDATE: (LIST_KIND, ENTRIES),
    LIST_ENTRY: (
        BACKEND,
        Field("ready-at-us", "started", parse_microseconds),
        Field("share", "nominal", parse_float),
        STATE,
        ZONE,
    ),
    TIMER_FIRED: (Field("label", "label", int, True),),
    PROBE_RESULT: (Field("how", "outcome", int, True), LATENCY, BACKEND, LOAD),
    PEER_MESSAGE: (Field("by", "sender", int, True), DATA),
    PROXY_JOINED: (
        PROXY,
        ZONE._replace(required=True),
        Field("share", "rate", parse_float),
        Field("set", "without_table", parse_boolean),
    ),
    PROXY_LEFT: (PROXY,),
    BACKEND_REPORT: (LATENCY, FAILURES, BACKEND, INTERVAL, ZONE, ATTEMPTS, LOAD),
    ARRIVAL_REPORT: (REQUESTS, INTERVAL, PROXY, REQUEST_KIND, FAILURES),
    SLICE_ARRIVALS: (TABLE, REQUEST_KIND, REQUESTS, FAILURES, INTERVAL),
    SLICE_ASSIGNED: (TABLE, Field("set", "ours", parse_boolean, True)),
    SLICE_LINE: (TABLE, BACKEND, Field("share", "weight", parse_float)),
    NONCE_ACKNOWLEDGED: (APPLY_TIME, PROXY, Field("epoch", "nonce", int, True)),
}


def read_pairs(text):
    """Splits a line without its name into pairs, key -> text. Raises WireError."""
    pairs = {}
    for part in text.split(" "):
        if part:
            key, equals, value = part.partition("=")
            if not equals or not key:
                raise WireError(f"'{part}' is not key=value")
            pairs[key] = value
    return pairs


def read_fields(name, pairs):
    """Parses the fields of a line from its pairs, term -> value. Raises WireError."""
    values = {}
    for key, term, parse, required in FIELDS[name]:
        if key in pairs:
            try:
                values[term] = parse(pairs[key])
            except ValueError:
                raise WireError(f"{name}: '{pairs[key]}' is not a valid value for {key}") from None
        elif required:
            raise WireError(f"{name}: {key} is missing")
    return values


# ---- outgoing lines


def set_line(table, backend, weight):
    """Returns the line that sets the weight of a backend in a table; weight 0 removes it."""
    return f"ENDPOINT share={weight:.6g} route-table={table} backend={backend}"


def bind(proxy, table):
    """Returns the line that binds a proxy to a table for all request kinds."""
    return f"POINT proxy={proxy} route-table={table} lanes=0"


def withdraw(backend, withdrawn):
    """Returns the line that withdraws a backend from all tables, or readmits it."""
    return f"TAKE_OUT backend={backend} set={int(withdrawn)}"


def set_admission(table, kinds, level, retry):
    """Returns the line that sets a table's level and retry mode for kinds, one bit each; 0: all kinds."""
    return f"SET_LEVEL route-table={table} lanes={kinds} allowance={level:.6g} second-try={retry}"


def request_acknowledgement(nonce):
    """Returns the line that makes proxies acknowledge a nonce once they applied all orders before it."""
    return f"CHECKPOINT set=0 epoch={nonce}"


def set_timer(label, after):
    """Returns the line that sets a timer to fire after `after` ns."""
    return f"ARM label={label} wait-us={max(0, after) // NS_PER_US}"


def subscribe(subscribed):
    """Returns the line that subscribes to the changes of the endpoint list, or unsubscribes."""
    return f"WATCH set={int(subscribed)}"


def poll_endpoint_list():
    """Returns the line that requests the whole endpoint list."""
    return "GET_LIST"


def probe(backend):
    """Returns the line that requests a health check of a backend."""
    return f"PING backend={backend}"


def log(text):
    """Returns the line that writes a text to the log, with whitespace collapsed."""
    return "SAY_LOG what=" + " ".join(text.split())


def sender_line(controller):
    """Returns the line that names the controller from which the following lines come."""
    return f"FROM who={controller}"


def failure(text):
    """Returns the line that reports a failure of the policy, with the reason on one line."""
    return f"DIE what={text}".replace("\n", " ")


def batch_done(batch):
    """Returns the line that ends the reply to a batch."""
    return f"DONE batch={batch}"

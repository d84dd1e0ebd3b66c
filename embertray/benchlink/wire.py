"""Every word of the bench's wire, with the term that the rest of the package uses for it.

A line is a name and then key=value pairs, set off by spaces. Times on the wire are microseconds, here
nanoseconds. The settings in a start line are read by `embertray.controller.settings`.
"""

from collections.abc import Callable
from typing import NamedTuple

from embertray.controller.settings import NS_PER_US, parse_float

from .exceptions import WireError

# ---- names of lines that come

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

STATES = {0: "draining", 1: "gone", 2: "ready"}  # of a list's entry
STATE_READY = 2
LIST_KINDS = {0: "changes", 1: "whole", 2: "cached", 3: "failed"}  # as in interface.EndpointListUpdate
PROBE_ANSWERED = 1
NO_DATA = "-"


def boolean(text):
    """The truth value of "0" or "1". Raises ValueError for others."""
    if text in ("0", "1"):
        return text == "1"
    raise ValueError(text)


def microseconds(text):
    """A time on the wire as ns. Raises ValueError."""
    return int(text) * NS_PER_US


# ---- fields of lines


class Field(NamedTuple):
    """A field of a line: key on the wire, term, reader (raises ValueError), whether it is needed."""

    key: str
    term: str
    read: Callable
    required: bool = False


BACKEND = Field("backend", "backend", str, True)
PROXY = Field("proxy", "proxy", int, True)
TABLE = Field("route-table", "table", int, True)
REQUEST_KIND = Field("class", "request_kind", str, True)
ZONE = Field("rack-zone", "zone", str)
INTERVAL = Field("window-us", "interval", microseconds)
ATTEMPTS = Field("total", "attempts", int, True)
REQUESTS = Field("total", "requests", int, True)
FAILURES = Field("lost", "failures", int)
LOAD = Field("stats", "load", str)
LATENCY = Field("took-us", "latency", microseconds)
APPLY_TIME = Field("took-us", "apply_time", microseconds)
LIST_KIND = Field("kind", "kind", int, True)
ENTRIES = Field("rows-in", "entries", int)
STATE = Field("health", "state", int)
DATA = Field("blob", "data", str)

# name of a line -> its fields, in the order in which they are checked; others are skipped
FIELDS = {
    BATCH_BEGIN: (Field("t-us", "now", microseconds, True), Field("batch", "batch", int, True)),
    RECIPIENT: (Field("who", "controller", int, True),),
    START: (Field("salt", "seed", int, True),),
    KILL: (),
    LIST_UPDATE: (LIST_KIND, ENTRIES),
    LIST_ENTRY: (
        BACKEND,
        Field("ready-at-us", "started", microseconds),
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
        Field("set", "without_table", boolean),
    ),
    PROXY_LEFT: (PROXY,),
    BACKEND_REPORT: (LATENCY, FAILURES, BACKEND, INTERVAL, ZONE, ATTEMPTS, LOAD),
    ARRIVAL_REPORT: (REQUESTS, INTERVAL, PROXY, REQUEST_KIND, FAILURES),
    SLICE_ARRIVALS: (TABLE, REQUEST_KIND, REQUESTS, FAILURES, INTERVAL),
    SLICE_ASSIGNED: (TABLE, Field("set", "ours", boolean, True)),
    SLICE_LINE: (TABLE, BACKEND, Field("share", "weight", parse_float)),
    NONCE_ACKNOWLEDGED: (APPLY_TIME, PROXY, Field("epoch", "nonce", int, True)),
}


def read_pairs(text):
    """The pairs of a line less its name, key -> text. Raises WireError."""
    pairs = {}
    for part in text.split(" "):
        if part:
            key, equals, value = part.partition("=")
            if not equals or not key:
                raise WireError(f"'{part}' is not name=value")
            pairs[key] = value
    return pairs


def read_fields(name, pairs):
    """The values of a line's fields, term -> value, by its pairs. Raises WireError."""
    values = {}
    for key, term, read, required in FIELDS[name]:
        if key in pairs:
            try:
                values[term] = read(pairs[key])
            except ValueError:
                raise WireError(f"{name}: '{pairs[key]}' is no good value for {key}") from None
        elif required:
            raise WireError(f"{name}: {key} is missing")
    return values


# ---- lines that go out


def set_line(table, backend, weight):
    """A table's line for a backend has this weight."""
    return f"ENDPOINT share={weight:.6g} route-table={table} backend={backend}"


def bind(proxy, table):
    """A proxy uses this table for all request kinds."""
    return f"POINT proxy={proxy} route-table={table} lanes=0"


def withdraw(backend, ejected):
    """A backend is ejected from all tables, or readmitted."""
    return f"TAKE_OUT backend={backend} set={int(ejected)}"


def set_admission(table, kinds, level, retry):
    """A table's level and retry mode for request kinds, one bit each; 0 for all."""
    return f"SET_LEVEL route-table={table} lanes={kinds} allowance={level:.6g} second-try={retry}"


def request_acknowledgement(nonce):
    """The proxies answer this nonce once they have applied all before it."""
    return f"CHECKPOINT set=0 epoch={nonce}"


def set_timer(label, after):
    """A timer is due after so many ns."""
    return f"ARM label={label} wait-us={max(0, after) // NS_PER_US}"


def subscribe(subscribed):
    """The list's changes are wanted, or no more."""
    return f"WATCH set={int(subscribed)}"


def poll_endpoint_list():
    """The whole list is wanted."""
    return "GET_LIST"


def probe(backend):
    """A backend's health is to be checked."""
    return f"PING backend={backend}"


def log(text):
    """A text for the log, its spaces made single ones."""
    return "SAY_LOG what=" + " ".join(text.split())


def sender_line(controller):
    """The lines that follow come from this controller."""
    return f"FROM who={controller}"


def failure(text):
    """The decision module failed; the text says why, made one line."""
    return f"DIE what={text}".replace("\n", " ")


def batch_done(batch):
    """The reply to a batch ends."""
    return f"DONE batch={batch}"

"""Operators' HTTP of a control replica: status, reads and writes.

GET /live /ready /metrics /control /control/key?key=K /control/versions?key=K;
PUT /control/key?key=K&request=ID (the value is the body; expected=REVISION refuses it if the key is not at
that), DELETE the same;
POST /control/rollback?key=K&version=N&request=ID. Answers are JSON of control/operations.py.
"""

from urllib.parse import parse_qs, urlsplit

import msgspec

from embertray.cluster.replication.api_messages import (
    Committed,
    Missing,
    Rejected,
    Unknown,
    Value,
    Version,
    Versions,
    encode_answer,
)
from embertray.cluster.replication.link.pending_writes import OutcomeUnknown
from embertray.cluster.replication.link.status import seconds
from embertray.cluster.replication.replica_types import (
    Conflict,
    NoMajority,
    NotLeader,
    Overloaded,
    WriteRejected,
)

from .server import serve_request, text

BODY_MOST = 64 << 10  # bytes: a value that is too large for an update still gets a typed answer
STATUS = {NotLeader: 421, NoMajority: 503, Overloaded: 503, Conflict: 409}  # of other refusals: 400


class BadCall(ValueError):
    """A call without what it needs."""


class ReplicaAdmin:
    """Pages of one ReplicaServer; `admins`: name of each replica -> its operators' address."""

    def __init__(self, server, admins):
        self.server, self.admins = server, admins
        self.routes = {
            "/live": {"GET": self._live},
            "/ready": {"GET": self._ready},
            "/metrics": {"GET": self._metrics},
            "/control": {"GET": self._status},
            "/control/versions": {"GET": self._versions},
            "/control/key": {"GET": self._get, "PUT": self._put, "DELETE": self._remove},
            "/control/rollback": {"POST": self._rollback},
        }

    async def serve(self, stream):
        """Answers one request."""
        await serve_request(stream, self.answer, BODY_MOST)

    async def answer(self, request, body):
        """(status, content type, body)"""
        parts = urlsplit(request.target.decode("ascii", "replace"))
        methods = self.routes.get(parts.path)
        if methods is None:
            return text(f"no such page; there are {' '.join(self.routes)}\n", 404)
        page = methods.get(request.method.decode())
        if page is None:
            return text(f"{parts.path} takes {' '.join(methods)}\n", 405)
        query = {name: values[0] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        try:
            return await page(query, body)
        except BadCall as wrong:
            return _json(400, Rejected("BadCall", str(wrong)))

    # ---- what is read

    async def _live(self, query, body):
        return text("live\n")

    async def _ready(self, query, body):
        status = self.server.status()
        if status.recovering:
            return text("recovering: it must not vote yet\n", 503)
        if not status.leader:
            return text("no leader is known\n", 503)
        return text(f"ready: {status.leader} leads, revision {status.revision}\n")

    async def _status(self, query, body):
        return 200, "application/json", msgspec.json.encode(self.server.status()) + b"\n"

    async def _metrics(self, query, body):
        return text("\n".join(replica_metrics(self.server.status())) + "\n")

    async def _get(self, query, body):
        return value_page(_key(query), self.server.get, seconds(self.server.age()))

    async def _versions(self, query, body):
        key = _key(query)
        kept = [
            Version(one.revision, None if one.value is None else len(one.value))
            for one in self.server.versions(key)
        ]
        return _json(200, Versions(key, kept)) if kept else _json(404, Missing(key))

    # ---- what is written

    async def _put(self, query, body):
        expected = _number(query, "expected") if "expected" in query else None
        return await self._write(
            query, self.server.put(_key(query), body, query.get("request", ""), expected)
        )

    async def _remove(self, query, body):
        return await self._write(query, self.server.put(_key(query), None, query.get("request", "")))

    async def _rollback(self, query, body):
        version = _number(query, "version")
        return await self._write(query, self.server.rollback(_key(query), version, query.get("request", "")))

    async def _write(self, query, call):
        try:
            return _json(200, Committed(query["key"], await call))
        except WriteRejected as refused:
            return _json(STATUS.get(type(refused), 400), self._refused(refused))
        except OutcomeUnknown as unknown:
            return _json(504, Unknown(str(unknown)))

    def _refused(self, refused):
        leader = self.admins.get(refused.leader, "") if isinstance(refused, NotLeader) else ""
        return Rejected(type(refused).__name__, str(refused), leader)


def value_page(key, get, age_s):
    """The answer to a GET of a key; `get(key)` gives its Entry or None."""
    entry = get(key)
    if entry is None:
        return _json(404, Missing(key))
    return _json(200, Value(key, entry.revision, entry.value, age_s))


def replica_metrics(status):
    """Lines of Prometheus' text format for a ReplicaStatus."""
    gauges = {
        "leads": int(status.has_majority),
        "term": status.term,
        "revision": status.revision,
        "age_seconds": "NaN" if status.age_s is None else status.age_s,
        "keys": status.keys,
        "state_bytes": status.state_bytes,
        "subscribers": status.subscribers,
        "lowest_confirmed": status.lowest_confirmed,
        "writes_waiting": status.writes_waiting,
        "peers_connected": status.peers_connected,
    }
    counters = {
        "saves": status.saves,
        "steps": status.steps,
        "update_retries": status.update_retries,
        "silent_subscribers": status.silent_subscribers,
        **msgspec.structs.asdict(status.traffic),
    }
    return metric_lines(gauges, counters)


def subscriber_metrics(status):
    """Lines of Prometheus' text format for a SubscriberStatus."""
    gauges = {
        "connected": int(status.connected),
        "revision": status.revision,
        "age_seconds": "NaN" if status.age_s is None else status.age_s,
        "keys": status.keys,
    }
    return metric_lines(gauges, {**status.counted, **msgspec.structs.asdict(status.traffic)})


def metric_lines(gauges, counters):
    """One TYPE line and one value for each."""
    rows = []
    for kind, suffix, metrics in (("gauge", "", gauges), ("counter", "_total", counters)):
        for name, value in metrics.items():
            rows.append(f"# TYPE embertray_control_{name}{suffix} {kind}")
            rows.append(f"embertray_control_{name}{suffix} {value}")
    return rows


def _json(status, answer):
    return status, "application/json", encode_answer(answer)


def _key(query):
    if not query.get("key"):
        raise BadCall("key: the name of a key is wanted")
    return query["key"]


def _number(query, name):
    value = query.get(name, "")
    if not value.isascii() or not value.isdigit() or len(value) > 18:
        raise BadCall(f"{name}: a whole number is wanted")
    return int(value)

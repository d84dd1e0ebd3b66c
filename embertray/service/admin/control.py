"""Operators' HTTP of a control replica: status, reads and writes.

GET /live /ready /metrics /control /control/key?key=K /control/versions?key=K;
PUT /control/key?key=K&request=ID (the value is the body; with expected=REVISION it is rejected if the key
has another revision), DELETE the same;
POST /control/rollback?key=K&version=N&request=ID. Answers are JSON of replication/api_messages.py.
"""

from urllib.parse import parse_qs, urlsplit

import msgspec

from embertray.cluster.replication.api_messages import (
    Committed,
    KeyNotFound,
    OutcomeUnknown,
    Rejected,
    Value,
    Version,
    Versions,
    encode_answer,
)
from embertray.cluster.replication.exceptions import (
    ConflictError,
    NoMajorityError,
    NotLeaderError,
    OutcomeUnknownError,
    OverloadedError,
    WriteRejectedError,
)
from embertray.cluster.replication.link.status import age_in_seconds

from .control_metrics import replica_metrics
from .server import serve_request, text

# Above the largest value of an update, so that a larger value is answered by a Rejected, not a plain error.
MAX_BODY_BYTES = 64 << 10
MAX_DIGITS = 18  # of a number in a query; 18 digits fit into 63 bits

BAD_REQUEST_STATUS = 400
UNKNOWN_OUTCOME_STATUS = 504
REJECTION_STATUS = {  # other rejections get BAD_REQUEST_STATUS
    NotLeaderError: 421,
    NoMajorityError: 503,
    OverloadedError: 503,
    ConflictError: 409,
}


class InvalidQueryError(ValueError):
    """A request lacks a parameter, or has one that can't be read."""


class ReplicaAdmin:
    """The operators' pages of one replica.

    Args:
        server: the ReplicaServer.
        admins: name of each replica -> its operators' address.
    """

    def __init__(self, server, admins):
        self.server = server
        self.admins = admins
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
        await serve_request(stream, self.answer, MAX_BODY_BYTES)

    async def answer(self, request, body):
        """Answers a request.

        Args:
            request: its head; `target` and `method` are bytes.
            body: bytes.

        Returns:
            (status, content type, body).
        """
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
        except InvalidQueryError as error:
            return _json(BAD_REQUEST_STATUS, Rejected("BadCall", str(error)))

    # ---- reads

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
        return value_page(_key(query), self.server.get, age_in_seconds(self.server.age()))

    async def _versions(self, query, body):
        key = _key(query)
        versions = [
            Version(entry.revision, None if entry.value is None else len(entry.value))
            for entry in self.server.versions(key)
        ]
        return _json(200, Versions(key, versions)) if versions else _json(404, KeyNotFound(key))

    # ---- writes

    async def _put(self, query, body):
        expected = _number(query, "expected") if "expected" in query else None
        call = self.server.put(_key(query), body, query.get("request", ""), expected)
        return await self._write(query, call)

    async def _remove(self, query, body):
        return await self._write(query, self.server.put(_key(query), None, query.get("request", "")))

    async def _rollback(self, query, body):
        version = _number(query, "version")
        return await self._write(query, self.server.rollback(_key(query), version, query.get("request", "")))

    async def _write(self, query, call):
        """Awaits a write and answers with its outcome."""
        try:
            return _json(200, Committed(query["key"], await call))
        except WriteRejectedError as error:
            return _json(REJECTION_STATUS.get(type(error), BAD_REQUEST_STATUS), self._rejected(error))
        except OutcomeUnknownError as error:
            return _json(UNKNOWN_OUTCOME_STATUS, OutcomeUnknown(str(error)))

    def _rejected(self, error):
        leader = self.admins.get(error.leader, "") if isinstance(error, NotLeaderError) else ""
        return Rejected(error.reason, str(error), leader)


def value_page(key, get, age_s):
    """Answers a GET of a key.

    Args:
        key: its name.
        get: a function key -> Entry, or None if there is none.
        age_s: age of the configuration in seconds, None if unknown.

    Returns:
        (status, content type, body).
    """
    entry = get(key)
    if entry is None:
        return _json(404, KeyNotFound(key))
    return _json(200, Value(key, entry.revision, entry.value, age_s))


def _json(status, answer):
    return status, "application/json", encode_answer(answer)


def _key(query):
    if not query.get("key"):
        raise InvalidQueryError("key: the name of a key is wanted")
    return query["key"]


def _number(query, name):
    value = query.get(name, "")
    if not value.isascii() or not value.isdigit() or len(value) > MAX_DIGITS:
        raise InvalidQueryError(f"{name}: a whole number is wanted")
    return int(value)

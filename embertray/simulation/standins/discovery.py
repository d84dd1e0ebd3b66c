"""A stand-in of the platform's discovery service, written from its protocol alone."""

from enum import StrEnum
from urllib.parse import parse_qs

import anyio
import msgspec

from .http_server import HttpServer

MEMBERS_PATH = "/catalog/members"


class AnswerFault(StrEnum):
    """How an answer that carries members ends."""

    NONE = "ok"
    CLOSED_AFTER_HEADERS = "head"
    CLOSED_WITHIN_BODY = "half"
    SILENT_WITHIN_BODY = "hold"
    CLOSED_AFTER_BODY = "last"
    BYTE_BY_BYTE = "slow"


CLOSING_FAULTS = (
    AnswerFault.CLOSED_AFTER_HEADERS,
    AnswerFault.CLOSED_WITHIN_BODY,
    AnswerFault.CLOSED_AFTER_BODY,
)


class StandinDiscovery(HttpServer):
    """Serves a list of members with revisions; watches wait for the next revision.

    Attributes:
        members: id -> the member's fields as they go out.
        change_log: (revision, id) of each change.
        revision: number of the latest change.
        down: while True no request is answered.
        request_targets: the target of each request, in order.
        next_faults: values of AnswerFault for the next answers that carry members.
        answers_watches_at_once: watches do not wait for a new revision.
    """

    def __init__(self, net, members=()):
        super().__init__(net)
        self.members = dict(members)
        self.change_log = []
        self.revision = 1
        self.down = False
        self.request_targets = []
        self.next_faults = []
        self.answers_watches_at_once = False

    def change(self, ident, **fields):
        """Changes a member, or adds one, as a new revision.

        Args:
            ident: the member's id.
            **fields: its fields that change.
        """
        known = self.members.get(ident, {})
        self.members[ident] = {"id": ident, "phase": "ready", **known, **fields}
        self.revision += 1
        self.change_log.append((self.revision, ident))
        self.notify_changed()

    async def serve(self, connection):
        """Answers list and watch requests until the connection ends or a fault closes it.

        Args:
            connection: an HttpConnection.
        """
        while (request := await connection.request()) is not None:
            _, target, _ = request
            path, _, query = target.partition("?")
            self.request_targets.append(target)
            since = await self._wait_for_change(parse_qs(query))
            if self.down:
                await anyio.sleep_forever()
            if path != MEMBERS_PATH:
                await connection.answer(b"", status=404)
                continue
            rows = self._rows(since)
            body = msgspec.json.encode(
                {"revision": self.revision, "complete": since is None, "members": rows}
            )
            fault = self.next_faults.pop(0) if self.next_faults and rows else AnswerFault.NONE
            await self._answer(connection, body, fault)
            if fault in CLOSING_FAULTS:
                return

    async def _wait_for_change(self, query):
        """Holds a watch until there is a change or its time is over; returns its revision, or None."""
        if "from" not in query:
            return None
        since = int(query["from"][0])
        if not self.answers_watches_at_once:
            with anyio.move_on_after(int(query["hold_ms"][0]) / 1e3):
                await self.wait_until(lambda: self.revision != since)
        return since

    def _rows(self, since):
        """Returns the members that changed after a revision; all that are not gone if it is None."""
        if since is None:
            return [member for member in self.members.values() if member["phase"] != "gone"]
        changed = {ident for revision, ident in self.change_log if revision > since}
        return [self.members[ident] for ident in changed]

    @staticmethod
    async def _answer(connection, body, fault):
        body_bytes_max = {
            AnswerFault.CLOSED_AFTER_HEADERS: 0,
            AnswerFault.CLOSED_WITHIN_BODY: len(body) // 2,
            AnswerFault.SILENT_WITHIN_BODY: len(body) // 2,
            AnswerFault.BYTE_BY_BYTE: 0,
        }
        await connection.answer(body, "application/json", body_bytes_max=body_bytes_max.get(fault))
        if fault == AnswerFault.BYTE_BY_BYTE:
            await connection.send_slowly(body)
        if fault == AnswerFault.SILENT_WITHIN_BODY:
            await anyio.sleep_forever()

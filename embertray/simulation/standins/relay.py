"""A stand-in of the platform's relay over HTTP, written from its protocol specification alone."""

from enum import StrEnum
from urllib.parse import parse_qs

import anyio
import h11

from .http_server import HttpServer
from .relay_state import RelayState

CALL_PATH = "/api/"
STREAM_PATH = "/api/stream"
KEEP_ALIVE_S = 1
KEEP_ALIVE = b":\n"  # a comment line of an event stream
ERROR_BODY = "<Response><Errors><Error><Code>{}</Code></Error></Errors></Response>"
UNREADABLE_BODY = b"<Response><items><it\xff"


class CallFault(StrEnum):
    """What happens to a call, and to its answer."""

    NONE = "ok"
    LOST = "lose"  # not carried out, no answer
    ANSWER_LOST = "mute"  # carried out, no answer
    ANSWER_UNREADABLE = "spoil"  # carried out
    ANSWER_CUT = "cut"  # carried out, closed within the answer's body
    ANSWER_STALLED = "stall"  # carried out, silent after the headers
    ANSWER_SLOW = "slow"  # carried out, answered a byte at a time
    THROTTLED = "throttled"  # not carried out, answered by an error


class StandinRelay(HttpServer):
    """Carries out calls and sends events.

    Attributes:
        state: its RelayState.
        event_queues: one list of unsent events for each open event stream.
        next_faults: values of CallFault for the next calls.
        calls: (fault, orders) of each call.
        rejects: called with an order's text; True: it is rejected, and the call ends there.
        is_malformed: called with an order's text; True: the whole call is invalid.
        acknowledges: whether nonces are answered by `done` events.
    """

    def __init__(self, net, acknowledges=True):
        super().__init__(net)
        self.state = RelayState()
        self.event_queues = []
        self.next_faults = []
        self.calls = []
        self.acknowledges = acknowledges
        self.rejects = lambda order: False
        self.is_malformed = lambda order: False

    @property
    def attached(self):
        """Node -> the text of its `attach` event."""
        return self.state.attached

    @property
    def tables(self):
        """Table -> backend -> weight."""
        return self.state.tables

    @property
    def bound(self):
        """Node -> its table."""
        return self.state.bound

    # ---- proxies

    def attach(self, node, zone, rate=1.0, cold=1):
        """Attaches a proxy and tells the controller.

        Args:
            node: the proxy's number.
            zone: its zone.
            rate: its share of the requests.
            cold: 1 while it has no table.
        """
        self.attached[node] = f"node={node}&locality={zone}&w={rate}&cold={cold}"
        self.send_event("attach", self.attached[node])

    def detach(self, node):
        """Detaches a proxy and tells the controller.

        Args:
            node: the proxy's number.
        """
        self.attached.pop(node, None)
        self.bound.pop(node, None)
        self.send_event("detach", f"node={node}")

    def send_event(self, kind, data):
        """Queues an event on all event streams.

        Args:
            kind: the event's name.
            data: its data line.
        """
        for queue in self.event_queues:
            queue.append(_event(kind, data))
        self.notify_changed()

    def lines(self, node):
        """Returns the lines that a proxy may pick.

        Args:
            node: the proxy's number.

        Returns:
            Backend -> weight, without withdrawn backends.
        """
        return self.state.lines(node)

    # ---- connections

    async def serve(self, connection):
        """Answers calls, or sends events, until the connection ends or a fault closes it.

        Args:
            connection: an HttpConnection.
        """
        while (request := await connection.request()) is not None:
            method, path, body = request
            if (method, path) == ("GET", STREAM_PATH):
                await self._send_events(connection)
                return
            form = parse_qs(body.decode())
            orders = form.get("orders", [""])[0].split(";")
            known = (method, path, form.get("Action")) == ("POST", CALL_PATH, ["CommitChanges"])
            if not known or any(self.is_malformed(order) for order in orders):
                await connection.answer(ERROR_BODY.format("invalid").encode(), status=400)
                continue
            if not await self._call(connection, orders):
                return

    async def _call(self, connection, orders):
        """Carries out one call and answers it; returns whether the connection goes on."""
        fault = self.next_faults.pop(0) if self.next_faults else CallFault.NONE
        self.calls.append((fault, orders))
        count = 0
        if fault not in (CallFault.LOST, CallFault.THROTTLED):
            count = self._carry_out(orders)
        self.notify_changed()
        if fault in (CallFault.LOST, CallFault.ANSWER_LOST):
            return False
        if fault == CallFault.THROTTLED:
            await connection.answer(ERROR_BODY.format("throttled").encode(), status=503)
            return True
        await self._answer_count(connection, count, fault)
        return fault != CallFault.ANSWER_CUT

    @staticmethod
    async def _answer_count(connection, count, fault):
        """Answers how many orders were carried out, as far as the fault lets it."""
        body = UNREADABLE_BODY
        if fault != CallFault.ANSWER_UNREADABLE:
            item = f"<item><ok_count>{count}</ok_count></item>"
            body = f"<Response><items>{item}</items></Response>".encode()
        body_bytes_max = {
            CallFault.ANSWER_CUT: len(body) // 2,
            CallFault.ANSWER_STALLED: 0,
            CallFault.ANSWER_SLOW: 0,
        }
        await connection.answer(body, body_bytes_max=body_bytes_max.get(fault))
        if fault == CallFault.ANSWER_SLOW:
            await connection.send_slowly(body)
        if fault == CallFault.ANSWER_STALLED:
            await anyio.sleep_forever()

    async def _send_events(self, connection):
        """Sends all attached proxies, then each event as it comes."""
        queue = [_event("attach", text) for text in self.attached.values()]
        self.event_queues.append(queue)
        self.notify_changed()
        headers = [("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")]
        response = h11.Response(status_code=200, headers=headers)
        try:
            await connection.stream.send(connection.state.send(response))
            while True:
                data = b"".join(queue) or KEEP_ALIVE
                queue.clear()
                await connection.stream.send(connection.state.send(h11.Data(data=data)))
                with anyio.move_on_after(KEEP_ALIVE_S):
                    await self.wait_until(lambda: queue)
        finally:
            self.event_queues = [one for one in self.event_queues if one is not queue]

    # ---- orders

    def _carry_out(self, orders):
        """Carries out orders up to the first that is rejected; returns their number."""
        reached_nodes = set()
        for count, order in enumerate(orders):
            try:
                if self.rejects(order):
                    return count
                nonce = self.state.carry_out(order, reached_nodes)
            except (KeyError, ValueError, IndexError):  # an unknown table, proxy or verb, or a bad number
                return count
            if nonce is not None and self.acknowledges:
                self._acknowledge(nonce, reached_nodes)
        return len(orders)

    def _acknowledge(self, nonce, reached_nodes):
        """Sends the `done` events of a nonce for the proxies that acknowledge it."""
        for node in sorted(self.attached if nonce.from_all else reached_nodes & set(self.attached)):
            self.send_event("done", f"node={node}&nonce={nonce.text}&latency=12.5")


def _event(kind, data):
    return f"event: {kind}\ndata: {data}\n\n".encode()

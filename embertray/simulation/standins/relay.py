"""The platform's relay on sockets, written from the protocol's page."""

from urllib.parse import parse_qs

import anyio
import h11

from .platform import Party


class StandinRelay(Party):
    """Takes calls and tells news. `mood`: what it does with the next calls, one word each: ok | lose (no
    answer, not carried out) | mute (carried out, no answer) | spoil (carried out, unreadable answer) | cut
    (carried out, the answer broken off) | stall (carried out, silent) | slow (a byte at a time) | throttled.
    `refuse(order)`: whether an order is refused; `spoils(order)`: whether a call with it is no call."""

    def __init__(self, net, answers=True):
        super().__init__(net)
        self.joined, self.tables, self.bound, self.out, self.mood, self.calls = {}, {}, {}, set(), [], []
        self.answers, self.streams, self.levels = answers, [], {}
        self.refuse = self.spoils = lambda order: False

    # ---- proxies

    def attach(self, node, zone, rate=1.0, cold=1):
        self.joined[node] = f"node={node}&locality={zone}&w={rate}&cold={cold}"
        self.tell("attach", self.joined[node])

    def detach(self, node):
        self.joined.pop(node, None)
        self.bound.pop(node, None)
        self.tell("detach", f"node={node}")

    def tell(self, kind, data):
        for queue in self.streams:
            queue.append(f"event: {kind}\ndata: {data}\n\n".encode())
        self.happened()

    def lines(self, node):
        """What a proxy picks from: backend -> weight."""
        return {
            backend: w
            for backend, w in self.tables.get(self.bound.get(node), {}).items()
            if backend not in self.out
        }

    # ---- connections

    async def serve(self, side):
        while (call := await side.request()) is not None:
            method, path, body = call
            if (method, path) == ("GET", "/api/stream"):
                await self.stream(side)
                return
            got = parse_qs(body.decode())
            orders = got.get("orders", [""])[0].split(";")
            known = (method, path, got.get("Action")) == ("POST", "/api/", ["CommitChanges"])
            if not known or any(self.spoils(order) for order in orders):
                await side.answer(
                    b"<Response><Errors><Error><Code>invalid</Code></Error></Errors></Response>", status=400
                )
                continue
            mood = self.mood.pop(0) if self.mood else "ok"
            self.calls.append((mood, orders))
            count = self.carry_out(orders) if mood not in ("lose", "throttled") else 0
            self.happened()
            if mood == "throttled":
                await side.answer(
                    b"<Response><Errors><Error><Code>throttled</Code></Error></Errors></Response>", status=503
                )
            elif mood in ("lose", "mute"):
                return
            else:
                body = b"<Response><items><it\xff"
                if mood != "spoil":
                    item = f"<item><ok_count>{count}</ok_count></item>"
                    body = f"<Response><items>{item}</items></Response>".encode()
                await side.answer(body, upto={"cut": len(body) // 2, "stall": 0, "slow": 0}.get(mood))
                for byte in body if mood == "slow" else ():
                    await side.stream.send(bytes([byte]))
                if mood == "stall":
                    await anyio.sleep_forever()
                if mood == "cut":
                    return

    async def stream(self, side):
        queue = [f"event: attach\ndata: {text}\n\n".encode() for text in self.joined.values()]
        self.streams.append(queue)
        self.happened()
        try:
            await side.stream.send(
                side.state.send(
                    h11.Response(
                        status_code=200,
                        headers=[("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")],
                    )
                )
            )
            while True:
                data, queue[:] = b"".join(queue) or b":\n", []
                await side.stream.send(side.state.send(h11.Data(data=data)))
                with anyio.move_on_after(1):
                    await self.until(lambda: queue)
        finally:
            self.streams = [one for one in self.streams if one is not queue]

    # ---- orders

    def carry_out(self, orders):
        reached = set()
        for count, order in enumerate(orders):
            try:
                if self.refuse(order):
                    raise KeyError(order)
                self.carry(order.split(","), reached)
            except (KeyError, ValueError, IndexError):
                return count
        return len(orders)

    def carry(self, order, reached):
        verb, args = order[0], order[1:]
        if verb == "SET":
            table = self.tables.setdefault(args[0], {})
            table[args[1]] = float(args[2])
            if not table[args[1]]:
                del table[args[1]]
            reached.update(node for node, bound in self.bound.items() if bound == args[0])
        elif verb == "USE":
            if int(args[0]) not in self.joined:
                raise KeyError(args[0])
            self.bound[int(args[0])] = args[1]
            self.joined[int(args[0])] = self.joined[int(args[0])].replace(
                "cold=1", "cold=0"
            )  # what stands is told as it is now
            reached.add(int(args[0]))
        elif verb in ("OUT", "IN"):
            (self.out.add if verb == "OUT" else self.out.discard)(args[0])
            reached.update(self.joined)
        elif verb == "LIMIT":
            self.levels[args[0], args[1]] = float(args[2]), int(args[3])
            reached.update(node for node, bound in self.bound.items() if bound == args[0])
        elif verb == "SYNC":
            for node in (
                sorted(self.joined if args[1] == "1" else reached & set(self.joined)) if self.answers else ()
            ):
                self.tell("done", f"node={node}&nonce={args[0]}&latency=12.5")
        else:
            raise ValueError(verb)

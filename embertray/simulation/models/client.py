"""The clients of one proxy without their sockets: what they ask, how long they wait, whether they ask
again.
"""

NS_PER_SECOND = 10**9


class ClientRequest:
    """One request from its first try to its end."""

    __slots__ = ("ident", "kind", "arrived_at", "attempts", "timer", "work")

    def __init__(self, ident, kind, arrived_at, work):
        self.ident, self.kind, self.arrived_at, self.work, self.attempts, self.timer = (
            ident,
            kind,
            arrived_at,
            work,
            0,
            None,
        )


class Clients:
    """`mix`: [(RequestKind, share, mean work ns)]. `retries` further tries, each about `wait` ns after the
    one before.
    """

    def __init__(self, number, mix, rng, retries=1, retry_delay=NS_PER_SECOND // 5):
        self.number, self.mix, self.rng, self.retries, self.retry_delay = (
            number,
            mix,
            rng,
            retries,
            retry_delay,
        )
        self.kinds = {kind.external_id: kind for kind, _, _ in mix}
        self.pending, self.sequence = {}, 0

    def draw_request(self, now):
        """A new request of a kind and work drawn from the mix."""
        remaining = self.rng.random()
        for kind, share, mean in self.mix:  # noqa: B007 (used after the loop)
            remaining -= share
            if remaining < 0:
                break
        return self.new_request(
            now, kind, int(mean * self.rng.gamma(4.0, 0.25))
        )  # mean 1, half as wide as it is high

    def new_request(self, now, kind, work):
        self.sequence += 1
        ident = self.number << 32 | self.sequence
        self.pending[ident] = request = ClientRequest(ident, kind, now, work)
        return request

    def attempt(self, now, request):
        """ns that the next try may take, or None: the client timeout is over, and the request is lost."""
        request.attempts += 1
        time_left = request.arrived_at + request.kind.client_timeout - now
        if time_left <= 0:
            del self.pending[request.ident]
            return None
        return time_left if request.attempts > self.retries else max(1, time_left // 2)

    def attempt_ended(self, now, ident, attempts, outcome, retry_after=0):
        """A try's end: done, denied (with the ns to `stay` away), error or timeout. None if that try is over;
        else (ask, verdict, ns): 'done' and 'late' with what it took, 'again' with the wait before the next
        try, 'lost'. Only what may run twice is sent again, and what was denied: that never ran."""
        request = self.pending.get(ident)
        if request is None or request.attempts != attempts:
            return None
        if outcome == "done":
            del self.pending[ident]
            latency = now - request.arrived_at
            return request, "done" if latency <= request.kind.latency_objective else "late", latency
        if request.attempts <= self.retries and (
            outcome == "denied" or request.kind.again != "non-replayable"
        ):
            return request, "again", int(max(self.retry_delay, retry_after) * (0.5 + self.rng.random()))
        del self.pending[ident]
        return request, "lost", 0

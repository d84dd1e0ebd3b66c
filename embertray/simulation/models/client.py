"""A model of the clients of one proxy, without I/O: their requests, timeouts and retries."""

NS_PER_SECOND = 10**9


class ClientRequest:
    """A client's request, from its first attempt to its end.

    Args:
        ident: Its number, unique among all clients.
        kind: Its RequestKind.
        arrived_at: When it was made, ns.
        work: ns of a core of speed 1.
    """

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
    """The clients of one proxy.

    Args:
        number: The proxy's number, for the requests' idents.
        mix: [(RequestKind, share of the requests, mean work in ns)].
        rng: A numpy Generator.
        retries: Maximum number of further attempts of a request.
        retry_delay: Mean delay before a further attempt, ns.

    Attributes:
        kinds: External id -> RequestKind.
        pending: Ident -> ClientRequest that has not ended.
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
        """Returns a new ClientRequest with a kind and work drawn from the mix."""
        remaining = self.rng.random()
        for kind, share, mean in self.mix:  # noqa: B007 (used after the loop)
            remaining -= share
            if remaining < 0:
                break
        # The distribution has mean 1 and standard deviation 0.5.
        return self.new_request(now, kind, int(mean * self.rng.gamma(4.0, 0.25)))

    def new_request(self, now, kind, work):
        """Returns a new ClientRequest, made at `now`, ns."""
        self.sequence += 1
        ident = self.number << 32 | self.sequence
        self.pending[ident] = request = ClientRequest(ident, kind, now, work)
        return request

    def attempt(self, now, request):
        """Starts the next attempt of a request.

        Returns:
            Its timeout, ns; None if the client timeout has passed, so that the request is lost. A client that
            may retry gives an attempt half of the remaining time.
        """
        request.attempts += 1
        time_left = request.arrived_at + request.kind.client_timeout - now
        if time_left <= 0:
            del self.pending[request.ident]
            return None
        return time_left if request.attempts > self.retries else max(1, time_left // 2)

    def attempt_ended(self, now, ident, attempts, outcome, retry_after=0):
        """Handles the end of an attempt.

        Only requests that may run twice are retried, and those that were denied, because these never ran.

        Args:
            now: ns.
            ident: The request's ident.
            attempts: The attempt's number, from 1.
            outcome: "done", "denied", "error" or "timeout".
            retry_after: For a denied attempt, the shortest delay before the next, ns.

        Returns:
            None if the attempt was over already. Otherwise (ClientRequest, verdict, ns), where the verdict is
            "done" or "late" with the latency, "again" with the delay before the next attempt, or "lost".
        """
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

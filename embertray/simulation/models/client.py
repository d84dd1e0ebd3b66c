"""The clients of one proxy without their sockets: what they ask, how long they wait, whether they ask
again.
"""

S = 10**9


class Ask:
    """One request from its first try to its end."""

    __slots__ = ("ident", "kind", "at", "tries", "timer", "work")

    def __init__(self, ident, kind, at, work):
        self.ident, self.kind, self.at, self.work, self.tries, self.timer = ident, kind, at, work, 0, None


class Clients:
    """`mix`: [(RequestKind, share, mean work ns)]. `retries` further tries, each about `wait` ns after the
    one before.
    """

    def __init__(self, number, mix, rng, retries=1, wait=S // 5):
        self.number, self.mix, self.rng, self.retries, self.wait = number, mix, rng, retries, wait
        self.kinds = {kind.external_id: kind for kind, _, _ in mix}
        self.open, self.count = {}, 0

    def draw(self, now):
        """A new request of a kind and work drawn from the mix."""
        draw = self.rng.random()
        for kind, share, mean in self.mix:  # noqa: B007 (used after the loop)
            draw -= share
            if draw < 0:
                break
        return self.ask(
            now, kind, int(mean * self.rng.gamma(4.0, 0.25))
        )  # mean 1, half as wide as it is high

    def ask(self, now, kind, work):
        self.count += 1
        ident = self.number << 32 | self.count
        self.open[ident] = ask = Ask(ident, kind, now, work)
        return ask

    def attempt(self, now, ask):
        """ns that the next try may take, or None: the client timeout is over, and the request is lost."""
        ask.tries += 1
        left = ask.at + ask.kind.client_timeout - now
        if left <= 0:
            del self.open[ask.ident]
            return None
        return left if ask.tries > self.retries else max(1, left // 2)

    def heard(self, now, ident, tries, how, stay=0):
        """A try's end: done, denied (with the ns to `stay` away), error or timeout. None if that try is over;
        else (ask, verdict, ns): 'done' and 'late' with what it took, 'again' with the wait before the next
        try, 'lost'. Only what may run twice is sent again, and what was denied: that never ran."""
        ask = self.open.get(ident)
        if ask is None or ask.tries != tries:
            return None
        if how == "done":
            del self.open[ident]
            took = now - ask.at
            return ask, "done" if took <= ask.kind.latency_objective else "late", took
        if ask.tries <= self.retries and (how == "denied" or ask.kind.again != "non-replayable"):
            return ask, "again", int(max(self.wait, stay) * (0.5 + self.rng.random()))
        del self.open[ident]
        return ask, "lost", 0

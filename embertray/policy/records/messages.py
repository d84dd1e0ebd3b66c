"""Messages that are on their way, by the nonces that close them."""

from collections import deque

SECOND = 10**9  # ns


class ProxyMessages:
    """One proxy's messages: nonces it has not answered yet, and until when the answered were written."""

    def __init__(self):
        self.open, self.written = deque(), deque()  # (nonce, time ordered); times

    def ordered(self, nonce, at):
        self.open.append((nonce, at))

    def answered(self, nonce, at):
        """All before it, too. They count as written now: a channel that lags writes late and at once."""
        while any(nonce is each for each, _ in self.open):
            self.open.popleft()
            self.written.append(at)

    def open_before(self, time):
        """Whether one that was ordered before then is open."""
        return bool(self.open) and self.open[0][1] < time

    def count(self, since, open_since):
        """Messages written since then, and those ordered after `open_since` that may yet be written."""
        while self.written and self.written[0] <= since:
            self.written.popleft()
        return len(self.written) + sum(at > open_since for _, at in self.open)


class Flights:
    """Lines that wait in the channel, by nonce in the order of sending."""

    def __init__(self, now):
        self.by_nonce, self.proof_at = {}, now  # nonce -> [proxy -> lines, lines in all that are unanswered]

    def ordered(self, nonce, lines, total):
        self.by_nonce[nonce] = [lines, total]

    def answered(self, proxy, nonce, head, now):
        """Marks before it are through as well. `head`: lines that a message costs beyond its own."""
        if nonce not in self.by_nonce:
            return
        while (first := next(iter(self.by_nonce))) is not nonce:
            del self.by_nonce[first]
        lines = self.by_nonce[nonce][0].pop(proxy, 0)
        if lines:
            self.by_nonce[nonce][1] -= lines + head
            self.proof_at = now

    def restart(self, now):
        self.by_nonce.clear()
        self.proof_at = now

    def waiting(self, now, rate, slowest):
        """Lines that may still wait: all since the last nonce known to be through, less what leaves at `rate`
        lines a second divided by `slowest`.
        """
        gone = (now - self.proof_at) * rate / slowest / SECOND
        return max(0.0, sum(left for _, left in self.by_nonce.values()) - gone)

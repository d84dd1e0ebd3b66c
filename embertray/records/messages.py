"""Messages that are on their way, by the marks that close them."""

from collections import deque

SECOND = 10**9  # ns


class ProxyMessages:
    """One proxy's messages: marks it has not answered yet, and until when the answered were written."""

    def __init__(self):
        self.open, self.written = deque(), deque()  # (mark, time ordered); times

    def ordered(self, mark, at):
        self.open.append((mark, at))

    def answered(self, mark, at):
        """All before it, too. They count as written now: a channel that lags writes late and at once."""
        while any(mark is each for each, _ in self.open):
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
    """Lines that wait in the channel, by mark in the order of sending."""

    def __init__(self, now):
        self.by_mark, self.proof_at = {}, now  # mark -> [proxy -> lines, lines in all that are unanswered]

    def ordered(self, mark, lines, total):
        self.by_mark[mark] = [lines, total]

    def answered(self, proxy, mark, head, now):
        """Marks before it are through as well. `head`: lines that a message costs beyond its own."""
        if mark not in self.by_mark:
            return
        while (first := next(iter(self.by_mark))) is not mark:
            del self.by_mark[first]
        lines = self.by_mark[mark][0].pop(proxy, 0)
        if lines:
            self.by_mark[mark][1] -= lines + head
            self.proof_at = now

    def restart(self, now):
        self.by_mark.clear()
        self.proof_at = now

    def waiting(self, now, rate, slowest):
        """Lines that may still wait: all since the last mark known to be through, less what leaves at `rate`
        lines a second divided by `slowest`.
        """
        gone = (now - self.proof_at) * rate / slowest / SECOND
        return max(0.0, sum(left for _, left in self.by_mark.values()) - gone)

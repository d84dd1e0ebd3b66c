"""Messages that are on their way, by the nonces that close them."""

from collections import deque

from embertray.policy.units import SECOND


class ProxyMessages:
    """One proxy's messages: nonces it has not answered yet, and until when the answered were written."""

    def __init__(self):
        self.unacknowledged = deque()  # (nonce, ns at which it was ordered)
        self.write_times = deque()  # ns

    def record_order(self, nonce, time):
        """A message with this nonce was ordered at `time`, ns."""
        self.unacknowledged.append((nonce, time))

    def record_acknowledgement(self, nonce, time):
        """The nonce and all before it are answered.

        They count as written at `time`, ns: a channel that lags writes late and at once.
        """
        while any(nonce is each for each, _ in self.unacknowledged):
            self.unacknowledged.popleft()
            self.write_times.append(time)

    def has_unacknowledged_before(self, time):
        """Whether a nonce that was ordered before `time`, ns, is open."""
        return bool(self.unacknowledged) and self.unacknowledged[0][1] < time

    def recent_count(self, written_since, ordered_since):
        """Counts the messages written after `written_since`, and those ordered after `ordered_since`.

        Forgets what was written before `written_since`; both are ns.
        """
        while self.write_times and self.write_times[0] <= written_since:
            self.write_times.popleft()
        return len(self.write_times) + sum(time > ordered_since for _, time in self.unacknowledged)


class LinesInFlight:
    """Lines that wait in the channel, by nonce in the order of sending."""

    def __init__(self, now):
        self.by_nonce = {}  # nonce -> [proxy -> lines, lines in all that are unanswered]
        self.progress_at = now  # ns; when a proxy last proved that the channel sends

    def record_order(self, nonce, lines, total):
        """Messages go out under a nonce.

        Args:
            nonce: `interface.Nonce`.
            lines: proxy -> lines of its message, without overhead.
            total: lines in all, overheads included.
        """
        self.by_nonce[nonce] = [lines, total]

    def record_acknowledgement(self, proxy, nonce, overhead, now):
        """A proxy answered a nonce: those before it are through as well.

        Args:
            proxy: who answered.
            nonce: `interface.Nonce`.
            overhead: lines that a message costs beyond its own.
            now: ns.
        """
        if nonce not in self.by_nonce:
            return
        while (first := next(iter(self.by_nonce))) is not nonce:
            del self.by_nonce[first]
        lines = self.by_nonce[nonce][0].pop(proxy, 0)
        if lines:
            self.by_nonce[nonce][1] -= lines + overhead
            self.progress_at = now

    def reset(self, now):
        """Nothing waits any more: the channel's time is counted from `now`, ns."""
        self.by_nonce.clear()
        self.progress_at = now

    def pending(self, now, rate, rate_divisor):
        """Lines that may still wait: those since the last answered nonce, less what leaves meanwhile.

        Args:
            now: ns.
            rate: lines a second that the channel sends.
            rate_divisor: by which the rate is divided, to be on the safe side.

        Returns:
            Lines, 0 or more.
        """
        drained = (now - self.progress_at) * rate / rate_divisor / SECOND
        return max(0.0, sum(pending for _, pending in self.by_nonce.values()) - drained)

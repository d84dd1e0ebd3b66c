"""Messages in flight, by the nonces that acknowledge them."""

from collections import deque

from embertray.policy.units import SECOND


class ProxyMessages:
    """Messages to one proxy: unacknowledged nonces, and write times of the acknowledged messages."""

    def __init__(self):
        self.unacknowledged = deque()  # (nonce, time of the order in ns)
        self.write_times = deque()  # ns, latest possible time of each write

    def record_order(self, nonce, time):
        """Records that a message with this nonce was ordered at `time`, ns."""
        self.unacknowledged.append((nonce, time))

    def record_acknowledgement(self, nonce, time):
        """Records that the nonce and all before it were acknowledged.

        They count as written at `time`, ns: a delayed channel writes late and in bursts.
        """
        while any(nonce is each for each, _ in self.unacknowledged):
            self.unacknowledged.popleft()
            self.write_times.append(time)

    def has_unacknowledged_before(self, time):
        """Whether a nonce ordered before `time`, ns, is unacknowledged."""
        return bool(self.unacknowledged) and self.unacknowledged[0][1] < time

    def write_times_since(self, written_since, ack_timeout):
        """Returns the latest possible write times of the messages written after `written_since`.

        Drops older write times of acknowledged messages. Times are ns.

        Args:
            written_since: ns.
            ack_timeout: time after its order at which an unacknowledged message counts as written, ns.
        """
        while self.write_times and self.write_times[0] <= written_since:
            self.write_times.popleft()
        ordered = (time + ack_timeout for _, time in self.unacknowledged)
        return [*self.write_times, *(time for time in ordered if time > written_since)]


class LinesInFlight:
    """Lines pending in the channel, by nonce in the order of sending."""

    def __init__(self, now):
        self.by_nonce = {}  # nonce -> [proxy -> lines, total of unacknowledged lines]
        self.progress_at = now  # ns; time of the last acknowledgement, which proves that the channel sends

    def record_order(self, nonce, lines, total):
        """Records that messages are sent with a nonce.

        Args:
            nonce: `interface.Nonce`.
            lines: proxy -> lines of its message, without overhead.
            total: total number of lines, overhead included.
        """
        self.by_nonce[nonce] = [lines, total]

    def record_acknowledgement(self, proxy, nonce, overhead, now):
        """Records an acknowledgement; all earlier nonces count as delivered too.

        Args:
            proxy: the acknowledging proxy.
            nonce: `interface.Nonce`.
            overhead: overhead of a message, lines.
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
        """Clears the pending lines; the progress of the channel is measured from `now`, ns."""
        self.by_nonce.clear()
        self.progress_at = now

    def pending(self, now, rate, rate_divisor):
        """Returns the lines that may still be pending: those unacknowledged, less those sent since.

        Args:
            now: ns.
            rate: channel rate, lines a second.
            rate_divisor: divides the rate, as a safety margin.

        Returns:
            Lines, 0 or more.
        """
        drained = (now - self.progress_at) * rate / rate_divisor / SECOND
        return max(0.0, sum(pending for _, pending in self.by_nonce.values()) - drained)

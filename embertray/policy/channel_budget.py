"""Channel budget: how many lines may wait in the channel to the proxies, and for what.

Rule: every message is reserved here before it is ordered, with its lines and its overhead, at the priority of
what it carries. A priority may use so much of the lines that may wait, and leaves so many of the messages
that a proxy may be sent within the deployment's window to what is more urgent. While acknowledgements come
late, or the endpoint list is silent, the lesser priorities get less.

Inputs: acknowledgements of nonces with the time they took (ns), the deployment's limits (lines that may wait,
lines a second, messages a proxy and window). Decides: how many lines of a change are sent now.

Guards against a queue in the channel over its limit, behind which removals would wait out their grace, and
against more messages to one proxy than allowed.
"""

from collections import deque
from dataclasses import dataclass
from statistics import median

from .records.messages import LinesInFlight
from .units import SECOND

ACK_TIMEOUT_MIN = 1 * SECOND  # ns; a proxy stands still while it applies a large table
ACK_DELAYS_KEPT = 8
RATE_SAFETY_DIVISOR = 20  # a stalled channel still counts as sending its rate divided by this
NONCE_LINES = 1  # lines that a nonce adds to a message
SHARE_DIVISOR_MAX = 2  # of removals and bindings in a slow channel; of updates while the list is silent


@dataclass(frozen=True)
class Priority:
    """What a message may use of the channel."""

    pending_share: float  # of the lines that may wait
    messages_reserved: int  # of the messages a proxy may be sent, left to more urgent ones
    is_deferrable: (
        bool  # gets ever less the slower the channel, and half while the list is silent; others half at least
    )


# a removal's grace runs: it may use nearly all, but for what a late acknowledgement hides
REMOVAL = Priority(pending_share=0.8, messages_reserved=1, is_deferrable=False)
# a crowd of bindings leaves room for removals that come meanwhile
BINDING = Priority(pending_share=0.6, messages_reserved=1, is_deferrable=False)
# cuts, levels and retries leave room for the bindings of a restart
URGENT_UPDATE = Priority(pending_share=0.35, messages_reserved=4, is_deferrable=True)
# learnt weights may wait for a beat at which little else is sent
ORDINARY_UPDATE = Priority(pending_share=0.25, messages_reserved=7, is_deferrable=True)


class ChannelBudget:
    """Reserves lines of the channel for the messages of one step.

    Args:
        context: `Context` of the controller.
        endpoint_watch: `EndpointWatch`, asked whether the list is silent.
    """

    def __init__(self, context, endpoint_watch):
        self.context = context
        self.endpoint_watch = endpoint_watch
        self.reserved = {}  # proxy -> lines of this step's message to it
        self.reserved_lines = 0  # of this step, overheads included
        self.in_flight = LinesInFlight(context.now)
        self._ack_delays = deque(maxlen=ACK_DELAYS_KEPT)  # ns

    def begin_step(self):
        """Nothing is reserved yet."""
        self.reserved = {}
        self.reserved_lines = 0

    def record_acknowledgement(self, proxy, nonce, took):
        """A proxy answered a nonce.

        Args:
            proxy: its `ProxyState`.
            nonce: `interface.Nonce`.
            took: ns from the order to the answer.
        """
        self._ack_delays.append(took)
        self.in_flight.record_acknowledgement(
            proxy, nonce, self.context.deployment.head + NONCE_LINES, self.context.now
        )

    def record_order(self, nonce):
        """All that is reserved goes out under this nonce."""
        if not self.pending_lines():
            self.in_flight.reset(self.context.now)
        self.in_flight.record_order(nonce, self.reserved, self.reserved_lines)

    def pending_lines(self):
        """Lines that may still wait in the channel."""
        rate = self.context.deployment.channel_rate
        return self.in_flight.pending(self.context.now, rate, RATE_SAFETY_DIVISOR)

    def ack_timeout(self):
        """After how many ns an open nonce counts as unanswered.

        It allows for the lines ahead, the longest way and the answers seen lately: a slow channel must not
        breed repeats.
        """
        deployment = self.context.deployment
        ahead = int(self.pending_lines() * SECOND / (deployment.channel_rate or 1))
        slowest = max(self._ack_delays, default=0)
        return ACK_TIMEOUT_MIN + deployment.channel_delay_max + 2 * slowest + 2 * ahead

    def free_lines(self, priority):
        """Lines that messages of a priority may still use.

        A slow channel keeps its lines for removals, whose grace runs; they wait to go in fewer messages. So
        it does while the endpoint list is silent: what that tells later comes all at once.
        """
        deployment = self.context.deployment
        lateness_factor = max(1, 2 * median(self._ack_delays or [0]) / (deployment.drain_grace or SECOND))
        if priority.is_deferrable:
            share_divisor = max(lateness_factor, SHARE_DIVISOR_MAX if self.endpoint_watch.failures else 1)
        else:
            share_divisor = min(lateness_factor, SHARE_DIVISOR_MAX)
        usable = priority.pending_share / share_divisor * deployment.pending_max
        return usable - self.pending_lines() - self.reserved_lines

    def reserve(self, proxies, requested, priority, lines_min=None):
        """Reserves lines in the messages to some proxies.

        Args:
            proxies: `ProxyState`s, all of which get the same lines.
            requested: lines for each.
            priority: `Priority` of these lines.
            lines_min: lines that are worth a message; None: all that are wanted or none.

        Returns:
            Lines for each: `requested`, fewer but at least `lines_min`, or 0 if there is no room.
        """
        deployment = self.context.deployment
        overhead = (deployment.head + NONCE_LINES) * sum(proxy not in self.reserved for proxy in proxies)
        if deployment.pending_max and proxies:
            free = self.free_lines(priority) - overhead
            if free < requested * len(proxies):
                requested = int(free / len(proxies)) if lines_min and free >= lines_min * len(proxies) else 0
        if not self._may_send(proxies, priority):
            return 0
        if requested:
            self.reserved.update((proxy, self.reserved.get(proxy, 0) + requested) for proxy in proxies)
            self.reserved_lines += overhead + requested * len(proxies)
        return requested

    def _may_send(self, proxies, priority):
        """Whether none of the proxies was written too many messages lately; lost ones may yet be written."""
        deployment = self.context.deployment
        is_limited = deployment.messages_max > 0
        most = deployment.messages_max - priority.messages_reserved
        written_since = self.context.now - deployment.messages_window
        ordered_since = written_since - self.ack_timeout() if is_limited else 0
        for proxy in proxies:
            written = proxy.messages.recent_count(written_since, ordered_since)  # forgets older ones as well
            if is_limited and proxy not in self.reserved and written >= most:
                return False
        return True

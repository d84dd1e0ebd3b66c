"""Channel budget: limits how many lines may be pending in the channel to the proxies, by priority.

Rule: every message is reserved here before it is ordered, with its lines and its overhead, at the priority of
its content. A priority may use a share of the lines that may be pending, and reserves a part of the messages
that a proxy may be sent within the deployment's window for more urgent content. The shares shrink while
acknowledgements are late, those of the lower priorities most; these also shrink while the endpoint list does
not answer.

Inputs: acknowledgements of nonces and their delay (ns), limits of the deployment (pending lines, lines a
second, messages per proxy and window). Output: how many lines of a change are sent now.

Prevents a channel queue over its limit, behind which removals would miss the drain grace, and more messages
to one proxy than allowed.
"""

from collections import deque
from dataclasses import dataclass
from statistics import median

from .records.messages import LinesInFlight
from .units import SECOND

ACK_TIMEOUT_MIN = 1 * SECOND  # ns; a proxy does not answer while it applies a large table
ACK_DELAYS_KEPT = 8
RATE_SAFETY_DIVISOR = 20  # a stalled channel is assumed to send its rate divided by this
NONCE_LINES = 1  # lines that a nonce adds to a message
SHARE_DIVISOR_MAX = 2  # of removals and bindings in a slow channel; of updates while the list does not answer


@dataclass(frozen=True)
class Priority:
    """Share of the channel that a message may use."""

    pending_share: float  # of the lines that may be pending
    messages_reserved: int  # of the messages that a proxy may be sent, kept for more urgent ones
    # whether the share shrinks in proportion to the delay of a slow channel, and is halved while the endpoint
    # list does not answer; other shares are halved at most
    is_deferrable: bool


# the drain grace is running: nearly all lines, less those that late acknowledgements hide
REMOVAL = Priority(pending_share=0.8, messages_reserved=1, is_deferrable=False)
# many bindings at once leave room for new removals
BINDING = Priority(pending_share=0.6, messages_reserved=1, is_deferrable=False)
# weight cuts, levels and retries leave room for the bindings after a restart
URGENT_UPDATE = Priority(pending_share=0.35, messages_reserved=4, is_deferrable=True)
# learned weights can wait for a control cycle in which little else is sent
ORDINARY_UPDATE = Priority(pending_share=0.25, messages_reserved=7, is_deferrable=True)


class ChannelBudget:
    """Reserves channel lines for the messages of one step.

    Args:
        context: `Context` of the controller.
        endpoint_watch: `EndpointWatch`; tells whether the list answers.
    """

    def __init__(self, context, endpoint_watch):
        self.context = context
        self.endpoint_watch = endpoint_watch
        self.reserved = {}  # proxy -> lines of its message in this step
        self.reserved_lines = 0  # in this step, overhead included
        self.in_flight = LinesInFlight(context.now)
        self._ack_delays = deque(maxlen=ACK_DELAYS_KEPT)  # ns

    def begin_step(self):
        """Clears the reservations of the previous step."""
        self.reserved = {}
        self.reserved_lines = 0

    def record_acknowledgement(self, proxy, nonce, took):
        """Records that a proxy acknowledged a nonce.

        Args:
            proxy: its `ProxyState`.
            nonce: `interface.Nonce`.
            took: ns from the order to the acknowledgement.
        """
        self._ack_delays.append(took)
        self.in_flight.record_acknowledgement(
            proxy, nonce, self.context.deployment.head + NONCE_LINES, self.context.now
        )

    def record_order(self, nonce):
        """Records that all reserved lines are sent with this nonce."""
        if not self.pending_lines():
            self.in_flight.reset(self.context.now)
        self.in_flight.record_order(nonce, self.reserved, self.reserved_lines)

    def pending_lines(self):
        """Returns an upper estimate of the lines that are pending in the channel."""
        rate = self.context.deployment.channel_rate
        return self.in_flight.pending(self.context.now, rate, RATE_SAFETY_DIVISOR)

    def ack_timeout(self):
        """Returns the time after which a missing acknowledgement counts as lost, ns.

        It includes the pending lines, the longest channel delay and the recent acknowledgement delays, so
        that a slow channel does not cause retries.
        """
        deployment = self.context.deployment
        drain_time = int(self.pending_lines() * SECOND / (deployment.channel_rate or 1))
        ack_delay_max = max(self._ack_delays, default=0)
        return ACK_TIMEOUT_MIN + deployment.channel_delay_max + 2 * ack_delay_max + 2 * drain_time

    def free_lines(self, priority):
        """Returns the lines that messages of a priority may still use.

        In a slow channel, lines are kept for removals, whose drain grace is running, and updates are batched
        in fewer messages. The same applies while the endpoint list does not answer, since all its changes
        will arrive at once.
        """
        return self._usable_lines(priority) - self.pending_lines() - self.reserved_lines

    def lines_max(self, proxies, priority):
        """Returns the most lines that a message of a priority to each of some proxies can ever have."""
        overhead = self.context.deployment.head + NONCE_LINES
        return int(self._usable_lines(priority) / max(1, len(proxies)) - overhead)

    def _usable_lines(self, priority):
        deployment = self.context.deployment
        lateness_factor = max(1, 2 * median(self._ack_delays or [0]) / (deployment.drain_grace or SECOND))
        if priority.is_deferrable:
            share_divisor = max(lateness_factor, SHARE_DIVISOR_MAX if self.endpoint_watch.failures else 1)
        else:
            share_divisor = min(lateness_factor, SHARE_DIVISOR_MAX)
        return priority.pending_share / share_divisor * deployment.pending_max

    def reserve(self, proxies, requested, priority, lines_min=None):
        """Reserves lines in the messages to some proxies.

        Args:
            proxies: `ProxyState`s, all of which get the same lines.
            requested: lines per proxy.
            priority: `Priority` of these lines.
            lines_min: minimum number of lines worth a message; None: all requested lines or none.

        Returns:
            Lines per proxy: `requested`, fewer but at least `lines_min`, or 0 if there is no room.
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
        """Whether no proxy has reached its message limit.

        Unacknowledged messages count, since they may yet be written.
        """
        deployment = self.context.deployment
        is_limited = deployment.messages_max > 0
        messages_limit = deployment.messages_max - priority.messages_reserved
        written_since = self.context.now - deployment.messages_window
        ordered_since = written_since - self.ack_timeout() if is_limited else 0
        for proxy in proxies:
            recent = proxy.messages.recent_count(written_since, ordered_since)  # also drops older entries
            if is_limited and proxy not in self.reserved and recent >= messages_limit:
                return False
        return True

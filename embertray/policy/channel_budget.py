"""Channel budget: limits how many lines may be pending in the channel to the proxies, by priority.

Rule: every message is reserved here before it is ordered, with its lines and its overhead, at the priority of
its content. A priority may use a share of the lines that may be pending. The shares shrink while
acknowledgements are late, those of the lower priorities most; these also shrink while the endpoint list does
not answer. How many messages a proxy may be sent is up to `message_limit`.

Inputs: acknowledgements of nonces and their delay (ns), limits of the deployment (pending lines, lines a
second). Output: how many lines of a change are sent now.

Prevents a channel queue over its limit, behind which removals would miss the drain grace.
"""

from collections import deque
from dataclasses import dataclass
from statistics import median

from .message_limit import MessageLimit
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
        self.message_limit = MessageLimit(context)
        self._ack_delays = deque(maxlen=ACK_DELAYS_KEPT)  # ns

    def begin_step(self, proxies, removal_lines):
        """Clears the reservations of the previous step.

        Args:
            proxies: number of joined proxies.
            removal_lines: lines of the pending removals in the messages to all of them, without overhead.
        """
        self.reserved = {}
        self.reserved_lines = 0
        overhead = proxies * (self.context.deployment.head + NONCE_LINES)
        round_time = self._channel_time(overhead + proxies)
        delivery_time = self._delivery_time(overhead + max(proxies, removal_lines))
        self.message_limit.begin_step(self.ack_timeout(), round_time, delivery_time)

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

    def _channel_time(self, lines):
        """Returns the time that the channel takes to send some lines, ns."""
        return int(lines * SECOND / (self.context.deployment.channel_rate or SECOND))

    def _delivery_time(self, lines):
        """Returns the time until the last proxy has received some lines that are sent now, ns.

        What is over the lines that may be pending is sent after acknowledgements of what was sent before.
        """
        deployment = self.context.deployment
        total = self.pending_lines() + lines
        waits = int(total / self._usable_lines(REMOVAL)) if deployment.pending_max else 0
        ack_delay = max(self._ack_delays, default=0)
        return deployment.channel_delay_max + self._channel_time(total) + waits * ack_delay

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

    def may_send(self, proxies, priority, due_at=None):
        """Whether the message limit permits a message to each of some proxies, or they get one anyway.

        Args:
            proxies: `ProxyState`s.
            priority: `Priority` of the message.
            due_at: time from which the message must not wait, ns; None: it has no deadline.
        """
        others = [proxy for proxy in proxies if proxy not in self.reserved]
        return self.message_limit.permits(others, priority.messages_reserved, due_at)

    def reserve(self, proxies, requested, priority, lines_min=None, due_at=None):
        """Reserves lines in the messages to some proxies.

        Args:
            proxies: `ProxyState`s, all of which get the same lines.
            requested: lines per proxy.
            priority: `Priority` of these lines.
            lines_min: minimum number of lines worth a message; None: all requested lines or none.
            due_at: time from which the lines must not wait for the message limit, ns; None: they may.

        Returns:
            Lines per proxy: `requested`, fewer but at least `lines_min`, or 0 if there is no room.
        """
        deployment = self.context.deployment
        overhead = (deployment.head + NONCE_LINES) * sum(proxy not in self.reserved for proxy in proxies)
        if deployment.pending_max and proxies:
            free = self.free_lines(priority) - overhead
            if free < requested * len(proxies):
                requested = int(free / len(proxies)) if lines_min and free >= lines_min * len(proxies) else 0
        if not requested or not self.may_send(proxies, priority, due_at):
            return 0
        self.reserved.update((proxy, self.reserved.get(proxy, 0) + requested) for proxy in proxies)
        self.reserved_lines += overhead + requested * len(proxies)
        return requested

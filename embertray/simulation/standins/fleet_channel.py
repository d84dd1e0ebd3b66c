"""Simulates the relay's channel: a limited rate, in order, one message for each proxy and step."""

from collections import defaultdict, deque
from typing import NamedTuple

from embertray.policy import interface as i

NS_PER_SECOND = 10**9
BIND_COST_LINES = 3  # in addition to the lines of the table
MESSAGE_COST_LINES = 1  # in addition to the content and the head


class TableUpdate(NamedTuple):
    """One message as it arrives at a proxy.

    Attributes:
        arrives_at: ns.
        proxy: the proxy's handle.
        table: backend -> weight, replaces all lines of the proxy; None: there are only `changes`.
        changes: backend -> weight; 0 removes the line.
        nonce: the nonce to answer, or None.
        sent_at: ns of the step that ordered it.
    """

    arrives_at: int
    proxy: object
    table: dict | None
    changes: dict
    nonce: object
    sent_at: int


class MessageBatch:
    """The messages of one step's orders, one for each proxy concerned.

    Attributes:
        tables: proxy -> backend -> weight, for a proxy that was bound in this step.
        changes: proxy -> backend -> weight.
        lines: proxy -> cost of its message in lines.
        nonce: the step's nonce, or None.
    """

    def __init__(self):
        self.tables = {}
        self.changes = defaultdict(dict)
        self.lines = defaultdict(float)
        self.nonce = None

    def set_line(self, proxy, backend, weight):
        """Adds a line to a proxy's message.

        Args:
            proxy: the proxy's handle.
            backend: the backend's handle.
            weight: its weight; 0 removes the line.
        """
        self.changes[proxy][backend] = weight
        self.lines[proxy] += 1

    def set_level(self, proxy):
        """Adds an admission level to a proxy's message; only its cost counts here.

        Args:
            proxy: the proxy's handle.
        """
        self.lines[proxy] += 1

    def bind(self, proxy, table):
        """Makes a proxy's message one that carries a complete table.

        Args:
            proxy: the proxy's handle.
            table: backend -> weight.
        """
        self.tables[proxy] = table
        self.changes[proxy] = {}
        self.lines[proxy] = BIND_COST_LINES + len(table)


class FleetChannel:
    """Delivers messages at the deployment's channel rate and delay.

    Args:
        deployment: an i.Deployment.

    Attributes:
        free_at: ns when the last queued message leaves.
        pending_lines_max: the greatest number of lines that waited at any time.
        sent_at: proxy -> ns at which each of its messages left.
    """

    def __init__(self, deployment: i.Deployment):
        self.deployment = deployment
        self.updates = deque()
        self.free_at = 0
        self.pending_lines_max = 0.0
        self.sent_at = defaultdict(list)

    def send(self, batch, now):
        """Queues a step's messages.

        Args:
            batch: a MessageBatch.
            now: ns.
        """
        deployment = self.deployment
        for proxy, lines in batch.lines.items():
            total_lines = lines + deployment.head + MESSAGE_COST_LINES
            self.free_at = max(self.free_at, now) + int(total_lines * NS_PER_SECOND / deployment.channel_rate)
            self.sent_at[proxy].append(self.free_at)
            self.updates.append(
                TableUpdate(
                    self.free_at + deployment.channel_delay_mean,
                    proxy,
                    batch.tables.get(proxy),
                    batch.changes[proxy],
                    batch.nonce,
                    now,
                )
            )
        pending_lines = (self.free_at - now) * deployment.channel_rate / NS_PER_SECOND
        self.pending_lines_max = max(self.pending_lines_max, pending_lines)

    def arrived(self, now):
        """Removes and yields the messages that have arrived.

        Args:
            now: ns.

        Yields:
            TableUpdate, in the order in which they were sent.
        """
        while self.updates and self.updates[0].arrives_at <= now:
            yield self.updates.popleft()

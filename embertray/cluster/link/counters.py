"""What a member's sockets count."""

from dataclasses import asdict, dataclass


@dataclass
class LinkCounters:
    """Counts since the start. The names are those of the status and of the metrics.

    Attributes:
        sent: Datagrams sent.
        received: Datagrams received.
        bytes_sent: Bytes of datagrams and of state sent.
        bytes_received: Bytes of datagrams and of state received.
        state_bytes_sent: Bytes of state sent, with the lengths of its frames.
        state_bytes_received: Bytes of state received, with the lengths of its frames.
        unreadable: Datagrams that are no message.
        exchanges: Exchanges begun.
        exchanges_failed: Exchanges begun that failed.
    """

    sent: int = 0
    received: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0
    state_bytes_sent: int = 0
    state_bytes_received: int = 0
    unreadable: int = 0
    exchanges: int = 0
    exchanges_failed: int = 0

    def on_datagram_sent(self, size):
        """Count a datagram.

        Args:
            size: Its bytes.
        """
        self.sent += 1
        self.bytes_sent += size

    def on_datagram_received(self, size):
        """Count a datagram.

        Args:
            size: Its bytes.
        """
        self.received += 1
        self.bytes_received += size

    def on_state_sent(self, size):
        """Count a part of an exchange.

        Args:
            size: Its bytes.
        """
        self.bytes_sent += size
        self.state_bytes_sent += size

    def on_state_received(self, size):
        """Count a part of an exchange.

        Args:
            size: Its bytes.
        """
        self.bytes_received += size
        self.state_bytes_received += size

    def as_dict(self):
        """Return name -> count."""
        return asdict(self)

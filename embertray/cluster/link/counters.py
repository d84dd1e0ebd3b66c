"""Counters of a member's network I/O."""

from dataclasses import asdict, dataclass


@dataclass
class LinkCounters:
    """Counts since the start. The field names appear in the status and in the metrics.

    Attributes:
        sent: Datagrams sent.
        received: Datagrams received.
        bytes_sent: Bytes sent, in datagrams and state exchanges.
        bytes_received: Bytes received, in datagrams and state exchanges.
        state_bytes_sent: Bytes sent in state exchanges, frame headers included.
        state_bytes_received: Bytes received in state exchanges, frame headers included.
        unreadable: Datagrams that could not be decoded.
        exchanges: Exchanges started by this member.
        exchanges_failed: Exchanges started by this member that failed.
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
        """Count a datagram that is sent.

        Args:
            size: Its size, bytes.
        """
        self.sent += 1
        self.bytes_sent += size

    def on_datagram_received(self, size):
        """Count a received datagram.

        Args:
            size: Its size, bytes.
        """
        self.received += 1
        self.bytes_received += size

    def on_state_sent(self, size):
        """Count data sent in a state exchange.

        Args:
            size: Its size, bytes.
        """
        self.bytes_sent += size
        self.state_bytes_sent += size

    def on_state_received(self, size):
        """Count data received in a state exchange.

        Args:
            size: Its size, bytes.
        """
        self.bytes_received += size
        self.state_bytes_received += size

    def as_dict(self):
        """Return the counters as name -> count."""
        return asdict(self)

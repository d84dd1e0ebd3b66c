"""Errors of the cluster's network I/O."""


class LinkError(Exception):
    """Base of all errors of the cluster's network I/O."""


class UnexpectedMessageError(LinkError):
    """A peer sent a message of another class than the state exchange expects."""

    def __init__(self, received, expected):
        """Create the error.

        Args:
            received: Class of the received message.
            expected: Class of the expected message.
        """
        super().__init__(f"received {received.__name__}, expected {expected.__name__}")
        self.received = received
        self.expected = expected

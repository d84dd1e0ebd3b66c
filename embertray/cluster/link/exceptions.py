"""Errors of the cluster's sockets."""


class LinkError(Exception):
    """Base of all errors of the cluster's sockets."""


class UnexpectedMessageError(LinkError):
    """A peer sent another message than the one that is due in an exchange."""

    def __init__(self, received, expected):
        """Keep what came.

        Args:
            received: Class of the message that came.
            expected: Class of the message that is due.
        """
        super().__init__(f"{received.__name__} where {expected.__name__} is due")
        self.received = received
        self.expected = expected

"""Exceptions of the replicated configuration."""


class MalformedMessageError(ValueError):
    """Bytes from a peer do not decode to any message that is expected on its connection."""


class MalformedStateError(ValueError):
    """A saved state has a valid checksum but does not decode to the expected type."""


class StateNotSavedError(Exception):
    """A replica cannot write its state to disk. It has to stop: it must not send what is not durable."""


class SubscriberRejectedError(Exception):
    """A subscriber is rejected, for the reason in the text; its connection has to be closed."""


class ConnectionRejectedError(Exception):
    """An inbound connection did not identify itself as an accepted peer, for the reason in the text."""


class OutcomeUnknownError(Exception):
    """The write may or may not have been committed; repeating it with its request id settles that."""


class WriteRejectedError(Exception):
    """The write was not accepted and has no effect.

    Attributes:
        reason: the kind of rejection, as returned by the HTTP API.
    """

    reason = "WriteRefused"


class NotLeaderError(WriteRejectedError):
    """This replica is not the leader.

    Attributes:
        leader: name of the leader, "" if it is not known.
    """

    reason = "NotLeader"

    def __init__(self, leader):
        super().__init__(f"the leader is {leader}" if leader else "no leader is known")
        self.leader = leader


class NoMajorityError(WriteRejectedError):
    """This replica is the leader, but no majority has confirmed that within the quorum timeout."""

    reason = "NoMajority"


class ConflictError(WriteRejectedError):
    """The key's current revision is not the one that the writer expected."""

    reason = "Conflict"


class OverloadedError(WriteRejectedError):
    """The limit on pending writes, live keys or stored bytes is reached."""

    reason = "Overloaded"


class BadKeyError(WriteRejectedError):
    """The key is empty or too long."""

    reason = "BadKey"


class BadRequestError(WriteRejectedError):
    """The request id is missing or too long."""

    reason = "BadRequest"


class TooLargeError(WriteRejectedError):
    """The value does not fit into a single update to a subscriber."""

    reason = "TooLarge"


class VersionNotKeptError(WriteRejectedError):
    """The requested version of the key is no longer kept or never existed."""

    reason = "VersionNotKept"

"""All errors of the replicated configuration."""


class MalformedMessageError(ValueError):
    """Bytes from a peer decode to none of the messages that are expected on its connection."""


class MalformedStateError(ValueError):
    """A state on disk has a valid checksum, but is not of the expected type."""


class StateNotSavedError(Exception):
    """A replica can't write its state to disk: it must stop, as it must not send what is not durable."""


class SubscriberRejectedError(Exception):
    """A subscriber is not served; the text says why. Its connection is to be closed."""


class ConnectionRejectedError(Exception):
    """An inbound connection did not identify itself as a peer that is served; the text says why."""


class OutcomeUnknownError(Exception):
    """The write may have been committed or not. Repeating it with its request id finds out."""


class WriteRejectedError(Exception):
    """The write was not accepted and has no effect.

    Attributes:
        reason: the kind of rejection as clients of the HTTP API read it.
    """

    reason = "WriteRefused"


class NotLeaderError(WriteRejectedError):
    """This replica does not lead.

    Attributes:
        leader: name of the replica to ask instead, "" if none is known.
    """

    reason = "NotLeader"

    def __init__(self, leader):
        super().__init__(f"the leader is {leader}" if leader else "no leader is known")
        self.leader = leader


class NoMajorityError(WriteRejectedError):
    """This replica leads, but no majority has confirmed that lately."""

    reason = "NoMajority"


class ConflictError(WriteRejectedError):
    """The key is not at the revision that the writer expected."""

    reason = "Conflict"


class OverloadedError(WriteRejectedError):
    """A limit on pending writes, live keys or stored bytes is reached."""

    reason = "Overloaded"


class BadKeyError(WriteRejectedError):
    """The key's name is empty or too long."""

    reason = "BadKey"


class BadRequestError(WriteRejectedError):
    """The request id is missing or too long."""

    reason = "BadRequest"


class TooLargeError(WriteRejectedError):
    """The value does not fit into one update to a subscriber."""

    reason = "TooLarge"


class VersionNotKeptError(WriteRejectedError):
    """The key's value at that version is no longer in the history, or never was."""

    reason = "VersionNotKept"

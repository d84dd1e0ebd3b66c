"""The errors of the platform's protocol."""


class ProtocolError(ValueError):
    """A peer or the platform violated the protocol; the message says how."""


class ConfigurationError(ProtocolError):
    """The configuration is invalid; the message says why. A running controller keeps its current one."""


class UnreadableListError(ProtocolError):
    """Discovery's answer is not a valid list. The connection is closed and the list requested again."""


class UnreadableAnswerError(ProtocolError):
    """The relay's answer to a call is invalid: the call may or may not have been executed."""


class UnreadableEventStreamError(ProtocolError):
    """The relay's event stream is malformed; its connection has to be closed."""

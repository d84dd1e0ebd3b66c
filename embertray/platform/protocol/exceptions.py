"""All errors of the platform's protocol."""


class ProtocolError(ValueError):
    """A peer or the platform wrote what the protocol does not allow; the text says what."""


class ConfigurationError(ProtocolError):
    """The configuration can't be used; the text says what of it. A running controller keeps its own."""


class UnreadableListError(ProtocolError):
    """Discovery's answer is no list. Its connection is closed and the list requested again."""


class UnreadableAnswerError(ProtocolError):
    """The relay's answer to a call can't be read: the call was carried out or not."""


class UnreadableEventStreamError(ProtocolError):
    """The relay's event stream can't be read; its connection is of no further use."""

"""The configuration of one controller, as the platform writes it; read at the start and again at a new
configuration.
"""

import msgspec

from embertray.controller.settings import BadSettings

from .discovery import Members, decoder as list_decoder


class BadStart(ValueError):
    """The configuration can't be used; the text says what of it."""


class Limits(msgspec.Struct):
    cores: float = 1.0
    memory_mb: float = 0.0
    sockets: int = 1024


class Store(msgspec.Struct):
    address: str


class Start(msgspec.Struct):
    """`settings` is told to the module by settings.StartSettings; `known`: the list as it was last held."""

    name: str
    listen: str
    discovery: str
    store: Store
    settings: dict
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    known: msgspec.Raw = msgspec.Raw(b"{}")

    def members(self):
        """The list as it was last held; an empty one if it can't be read: it may be out of date anyway, and
        who would not start for it serves nobody."""
        try:
            return list_decoder.decode(self.known)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            return Members()

    @property
    def chance(self):
        """The seed as a whole number."""
        try:
            return int(self.seed, 16)
        except ValueError:
            return int.from_bytes(self.seed.encode()[:16], "big")


decoder = msgspec.json.Decoder(Start)


def read(data):
    """The Start in `data`. Raises BadStart."""
    try:
        return decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as wrong:
        raise BadStart(f"configuration: {wrong}") from None


def without_words(settings):
    """Settings that the platform's protocol has no words for. One that nothing can be served without (tables
    that belong to slices) raises BadSettings; permissions go unused: what the log is told of them. A
    permission is no need, and who would not start for it fails every proxy."""
    if settings.figure("specifics.partitions-n"):
        raise BadSettings("specifics.partitions-n: the platform's protocol has no words for slices")
    unused = [
        what
        for what, key in (("probes", "caps.probes"), ("notes to peers", "caps.peer-messages"))
        if settings.yes(key)
    ]
    return [
        f"the settings permit {what}: the platform's protocol has no words for them, none are sent"
        for what in unused
    ]

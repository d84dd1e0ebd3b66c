"""A committed or proposed version of a key, and the field types of messages."""

from typing import Annotated

import msgspec
import xxhash
from msgspec import Meta

MAX_KEY_BYTES = 256  # in UTF-8; enforced when a client writes, as the type below counts characters
ENTRY_OVERHEAD_BYTES = 24  # charged per entry beside its key, request id and value: numbers and framing

Count = Annotated[int, Meta(ge=0, le=2**62)]
Digest = Annotated[int, Meta(ge=0)]  # 64 bits
Name = Annotated[str, Meta(min_length=1, max_length=128)]
Key = Annotated[str, Meta(max_length=MAX_KEY_BYTES)]  # "" only for the empty entry that opens a term
RequestId = Annotated[str, Meta(max_length=64)]


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """One version of a key. The order of the fields is the format on the wire and on disk.

    Attributes:
        key: name such as "limits/search"; "" only for the empty entry that opens a term.
        revision: position of this write in the sequence of all writes of the cluster.
        term: term of the leader that proposed it.
        request: request id of the client's call, by which a repeated call is recognised.
        value: the value's bytes; None for a removal.
    """

    key: Key
    revision: Count
    term: Count
    request: RequestId
    value: bytes | None

    @property
    def size(self):
        """Bytes charged for the entry, on the wire and in the store."""
        return len(self.key) + len(self.request) + len(self.value or b"") + ENTRY_OVERHEAD_BYTES

    @property
    def fingerprint(self):
        """64-bit hash of key, revision and value."""
        digest = xxhash.xxh64(self.key.encode())
        digest.update(self.revision.to_bytes(8, "big"))
        digest.update(self.value or b"")
        return digest.intdigest()

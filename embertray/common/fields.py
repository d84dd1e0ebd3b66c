"""Field types shared by messages and files on disk; the decoder rejects values that exceed their limits."""

from typing import Annotated

from msgspec import Meta, Struct

Name = Annotated[str, Meta(min_length=1, max_length=128)]
Count = Annotated[int, Meta(ge=0, le=2**53)]
Time = Annotated[int, Meta(ge=0, le=2**62)]  # nanoseconds


class Message(Struct, array_like=True, frozen=True, gc=False):
    """Base of messages and their parts: encoded as arrays, compared by value."""

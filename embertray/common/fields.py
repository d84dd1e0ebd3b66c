"""Field types that messages and files on disk share; the decoder refuses what is out of their bounds."""

from typing import Annotated

from msgspec import Meta, Struct

Name = Annotated[str, Meta(min_length=1, max_length=128)]
Count = Annotated[int, Meta(ge=0, le=2**53)]
Time = Annotated[int, Meta(ge=0, le=2**62)]  # nanoseconds


class Message(Struct, array_like=True, frozen=True, gc=False):
    """A message or a part of one: an array on the wire, compared by value."""

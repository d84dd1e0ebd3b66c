"""One entry as it travels."""

from typing import Annotated

import msgspec
from msgspec import Meta

from embertray.cluster.membership.member import Count, Name


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """`life` and `version` are the owner's: a later life outdoes all of a former one, then the later version.
    `age`: ns since the owner told it, which travels as a duration, so no clock is compared with another's.
    `value` None: taken back."""

    owner: Name
    key: Annotated[str, Meta(max_length=256)]
    incarnation: Count
    version: Count
    age_ns: Count
    value: bytes | None

    @property
    def place(self):
        return self.owner, self.key

    @property
    def rank(self):
        return self.incarnation, self.version


def bytes_of(owner, key, value):
    """What an entry is charged, in bytes: its words and some for what holds them."""
    return len(owner) + len(key) + len(value or b"") + 200

"""Discovery: what is asked, what an answer means, when to ask again. One call at a time, each a watch on the
version held.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from .limits import AGAIN_FIRST, AGAIN_MOST, HOLD, LIST_MOST, LIST_WITHIN, MS, OLD_MOST, STILL_MOST, WORD_MOST

PATH = "/catalog/members"
Name = Annotated[str, Meta(min_length=1, max_length=WORD_MOST)]


class Unreadable(ValueError):
    """An answer that is none; whoever asked closes the connection and asks again."""


class Member(msgspec.Struct):
    """One backend; has the names that runner.Runner reads."""

    id: Name
    locality: Name = ""
    phase: Literal["ready", "draining", "gone"] = "ready"
    size: Annotated[float, Meta(ge=0)] = 1.0
    up_since_ms: Annotated[float, Meta(ge=0, le=1e15)] = 0

    backend = property(lambda self: self.id)
    zone = property(lambda self: self.locality)
    state = property(lambda self: self.phase)
    nominal = property(lambda self: self.size)
    started = property(lambda self: int(self.up_since_ms * MS))


class Members(msgspec.Struct):
    revision: Annotated[int, Meta(ge=0)] = 0
    complete: bool = True
    members: list[Member] = []


decoder = msgspec.json.Decoder(Members)


class Follow:
    """The list's version, and what to do next."""

    def __init__(self, revision=0):
        self.revision, self.fails, self.old_since, self.whole = revision, 0, None, True
        self.asked, self.still = (
            0,
            0,
        )  # when the last call went; calls in a row that were answered at once with nothing new

    def ask(self, now):
        """(path, ns within which an answer must begin). The first call wants the whole list, at once."""
        self.asked = now
        if self.whole:
            return PATH, LIST_WITHIN
        return f"{PATH}?from={self.revision}&hold_ms={HOLD // MS}", HOLD + LIST_WITHIN

    def elsewhere(self):
        """Discovery has another address: it is asked for the whole list. Versions are those of one list,
        wherever it is asked for, so an agent there that lags takes back nothing either."""
        self.whole = True

    def pause(self):
        """ns until the next call: against an agent that answers each call at once with what we have, which
        would take all our processor time."""
        return min(STILL_MOST, AGAIN_FIRST << min(self.still - 1, 6)) if self.still else 0

    def heard(self, now, status, body):
        """('whole' | 'changes', members), or None for nothing new. Raises Unreadable."""
        if status != 200 or len(body) > LIST_MOST:
            raise Unreadable(f"status {status}, {len(body)} bytes")
        try:
            got = decoder.decode(body)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as wrong:
            raise Unreadable(str(wrong)) from None
        self.fails = 0
        self.still = self.still + 1 if got.revision <= self.revision and now < self.asked + HOLD // 2 else 0
        if not got.complete and self.whole:
            raise Unreadable("changes where the whole list was asked for")
        if got.revision < self.revision:
            # against an agent that answers from an older copy: a drain that was told must not be taken back
            self.old_since = now if self.old_since is None else self.old_since
            if now - self.old_since < OLD_MOST:
                return None
            if not got.complete:
                self.whole = True
                return None
            self.still = 0
        self.revision, self.whole, self.old_since = got.revision, False, None
        if not got.complete and not got.members:
            return None
        return ("whole" if got.complete else "changes"), got.members

    def broke(self):
        """No answer, or none that can be read; ns until the next call."""
        self.fails += 1
        return min(AGAIN_MOST, AGAIN_FIRST << min(self.fails - 1, 6))

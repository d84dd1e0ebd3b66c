"""The last list on disk: all that a controller brings through a crash.

One file, replaced whole: written aside, flushed, renamed. A file that can't be read is as good as none, and said so.
"""
import os
from pathlib import Path

import msgspec

from .messages import Listed


class LastList(msgspec.Struct):
    """`clock` is the inventory's when the list was sent, `wall` ours (ns since 1970) when it was kept."""
    epoch: int
    clock: int
    wall: int
    entries: list[Listed]


class Kept:
    """A last list at a path. Raises OSError on writing; reading gives (LastList or None, why not)."""

    def __init__(self, path):
        self.path = Path(path)

    def save(self, last):
        aside = self.path.with_name(self.path.name + ".new")
        with open(aside, "wb") as file:
            file.write(msgspec.msgpack.encode(last))
            file.flush()
            os.fsync(file.fileno())
        os.replace(aside, self.path)

    def load(self):
        try:
            return msgspec.msgpack.decode(self.path.read_bytes(), type=LastList), ""
        except FileNotFoundError:
            return None, "there is none yet"
        except (OSError, msgspec.DecodeError) as wrong:
            return None, str(wrong)


class KeptInMemory:
    """The same for runs without a disk."""

    def __init__(self):
        self.last = None

    def save(self, last):
        self.last = last

    def load(self):
        return self.last, "" if self.last else "there is none yet"

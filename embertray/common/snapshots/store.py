"""A folder of numbered snapshots: each is written aside, flushed, renamed, and the folder flushed; the newest
good one counts.

A file is `EMBERTRY`, a format number, the length and the xxhash of what follows, then that, compressed by
zstandard. What is cut, flipped or of a newer format is passed over with its reason, and the next older is
taken. Nothing is ever written over. docs/design/start.md compares this with a log, sqlite and lmdb.
"""

import fcntl
import os
import struct
from contextlib import suppress
from pathlib import Path

import xxhash
import zstandard

MAGIC, FORMAT = b"EMBERTRY", 1
HEAD = struct.Struct(">8sHQQ")  # magic, format, length, xxh64 of the body
MOST = 256 << 20  # bytes a body may unpack to: a length that a flipped bit made is not believed
GENERATIONS = 3  # good files kept: the newest, and two to fall back on
LEVEL = 3  # of zstandard: its default


class FolderLocked(RuntimeError):
    """Another process owns the folder."""


class CorruptSnapshot(ValueError):
    pass


class Disk:
    """The system calls of a writer, one method each, so that tests can fail or stop at any of them."""

    def create(self, path):
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)

    def write(self, file, data):
        while data:
            data = data[os.write(file, data) :]

    def flush(self, file):
        os.fsync(file)

    def close(self, file):
        os.close(file)

    def rename(self, old, new):
        os.rename(old, new)

    def flush_folder(self, path):
        file = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(file)
        finally:
            os.close(file)

    def remove(self, path):
        os.unlink(path)


def pack(body):
    packed = zstandard.ZstdCompressor(level=LEVEL).compress(body)
    return HEAD.pack(MAGIC, FORMAT, len(packed), xxhash.xxh64_intdigest(packed)) + packed


def unpack(data):
    """The body of a file's bytes. Raises CorruptSnapshot with the reason."""
    if len(data) < HEAD.size:
        raise CorruptSnapshot(f"it has {len(data)} bytes, fewer than its head")
    magic, form, length, digest = HEAD.unpack_from(data)
    packed = data[HEAD.size :]
    if magic != MAGIC:
        raise CorruptSnapshot("it does not begin as a snapshot does")
    if form != FORMAT:
        raise CorruptSnapshot(f"it is of format {form}; this program reads {FORMAT}")
    if len(packed) != length:
        raise CorruptSnapshot(f"it has {len(packed)} of {length} bytes")
    if xxhash.xxh64_intdigest(packed) != digest:
        raise CorruptSnapshot("its checksum is wrong")
    try:
        return zstandard.ZstdDecompressor().decompress(packed, max_output_size=MOST)
    except zstandard.ZstdError as wrong:
        raise CorruptSnapshot(f"it can't be unpacked: {wrong}") from None


class SnapshotStore:
    """One folder. `lock` first (raises FolderLocked); `save` raises OSError and leaves what was; `load` never
    raises.
    """

    def __init__(self, folder, disk=None):
        self.folder, self.disk, self.owner = Path(folder), disk or Disk(), None

    def lock(self):
        """Makes the folder if need be and takes it for this process. Raises FolderLocked, OSError."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.owner = os.open(self.folder / "owner", os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self.owner, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            who = os.pread(self.owner, 64, 0).decode("ascii", "replace").strip() or "unknown"
            os.close(self.owner)
            self.owner = None
            raise FolderLocked(
                f"{self.folder} is in use by process {who}: two controllers can't share a state folder"
            ) from None
        os.ftruncate(self.owner, 0)
        os.pwrite(self.owner, f"{os.getpid()}\n".encode(), 0)

    def unlock(self):
        if self.owner is not None:
            os.close(self.owner)
            self.owner = None

    def generations(self):
        """Numbers of the snapshots there, oldest first."""
        try:
            return sorted(int(p.stem[5:]) for p in self.folder.glob("list-*.snap") if p.stem[5:].isdigit())
        except OSError:
            return []

    def path_of(self, number):
        return self.folder / f"list-{number:012d}.snap"

    def save(self, body):
        """The body becomes the newest snapshot. After a crash at any point the newest good one is the old or
        the new.
        """
        numbers, disk = self.generations(), self.disk
        number = (numbers[-1] if numbers else 0) + 1
        aside = self.folder / "next.tmp"
        file = disk.create(aside)
        try:
            disk.write(file, pack(body))
            disk.flush(file)
        finally:
            disk.close(file)
        disk.rename(aside, self.path_of(number))
        disk.flush_folder(self.folder)
        for old in numbers[: max(0, len(numbers) + 1 - GENERATIONS)]:
            with suppress(OSError):  # one file too many does no harm
                disk.remove(self.path_of(old))
        return number

    def load(self, read=lambda body: body):
        """(the newest body that can be read, [(file name, why it was passed over)]). `read` may raise
        ValueError.
        """
        passed = []
        for number in reversed(self.generations()):
            path = self.path_of(number)
            try:
                return read(unpack(path.read_bytes())), passed
            except (OSError, ValueError) as wrong:
                passed.append((path.name, str(wrong)))
        return None, passed

"""A state folder of numbered snapshots, of which the newest sound one counts.

Each snapshot is written to a temporary file, flushed, renamed to the next generation, and the folder flushed.
No generation is ever overwritten, so a crash at any point leaves the old or the new one complete. A file that
is truncated, damaged or of a newer format is skipped with its reason, and the next older one is taken.
docs/design/start.md compares this with a log, sqlite and lmdb.
"""

import fcntl
import os
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

from .disk import Disk
from .exceptions import FolderLockedError
from .file_format import decode_file, encode_file

GENERATIONS_KEPT = 3  # files: the newest, and two to fall back on
LOCK_FILE = "owner"  # holds the process id of the lock holder, as text
LOCK_FILE_MODE = 0o644  # permission bits
LOCK_HOLDER_BYTES = 64  # bytes of the lock file that are read for the message
TEMPORARY_FILE = "next.tmp"
PREFIX = "list-"
SUFFIX = ".snap"


class SkippedFile(NamedTuple):
    """A snapshot file that could not be used.

    Attributes:
        name: Its name in the state folder.
        reason: Why it was skipped, in words.
    """

    name: str
    reason: str


class LoadResult(NamedTuple):
    """What a state folder gave.

    Attributes:
        content: The newest readable content; None if there is none.
        skipped: The newer files that were passed over, newest first.
    """

    content: Any
    skipped: list[SkippedFile]


class SnapshotStore:
    """The snapshots of one state folder. Call `lock` before `save`.

    Args:
        folder: Path of the folder; `lock` makes it if it is missing.
        disk: A Disk; tests hand in one that fails.
    """

    def __init__(self, folder, disk=None):
        self.folder = Path(folder)
        self.disk = disk or Disk()
        self._lock_file = None  # file descriptor while the folder is locked

    def lock(self):
        """Makes the folder if needed and takes it for this process.

        The kernel drops the lock when the process ends, however it ends, so no stale lock can remain.

        Raises:
            FolderLockedError: Another process has it; the text names that process.
            OSError: The folder can't be made or written.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        lock_file = os.open(self.folder / LOCK_FILE, os.O_RDWR | os.O_CREAT, LOCK_FILE_MODE)
        try:
            fcntl.flock(lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            content = os.pread(lock_file, LOCK_HOLDER_BYTES, 0)
            os.close(lock_file)
            holder = content.decode("ascii", "replace").strip() or "unknown"
            raise FolderLockedError(
                f"{self.folder} is in use by process {holder}: two controllers can't share a state folder"
            ) from None
        self._lock_file = lock_file
        os.ftruncate(lock_file, 0)
        os.pwrite(lock_file, f"{os.getpid()}\n".encode(), 0)

    def unlock(self):
        """Releases the folder, if this store holds it."""
        if self._lock_file is not None:
            os.close(self._lock_file)
            self._lock_file = None

    def generations(self):
        """Returns the numbers of the snapshots in the folder, oldest first; none if it can't be listed."""
        try:
            numbers = [path.stem.removeprefix(PREFIX) for path in self.folder.glob(f"{PREFIX}*{SUFFIX}")]
        except OSError:
            return []
        return sorted(int(number) for number in numbers if number.isdigit())

    def path_of(self, generation):
        """Returns the path of a generation's file."""
        return self.folder / f"{PREFIX}{generation:012d}{SUFFIX}"

    def save(self, content):
        """Makes `content` the newest snapshot. Blocks until it is durable.

        Args:
            content: Bytes.

        Returns:
            The number of the new generation.

        Raises:
            OSError: It could not be saved; the former snapshots stand.
        """
        generations = self.generations()
        generation = (generations[-1] if generations else 0) + 1
        temporary = self.folder / TEMPORARY_FILE
        self._write(temporary, encode_file(content))
        self.disk.rename(temporary, self.path_of(generation))
        self.disk.flush_folder(self.folder)
        self._remove_outdated(generations)
        return generation

    def load(self, decode=lambda content: content):
        """Reads the newest sound snapshot. Never raises.

        Args:
            decode: Turns the content into what is wanted; may raise ValueError, and the next older file is
                then tried.

        Returns:
            A LoadResult.
        """
        skipped = []
        for generation in reversed(self.generations()):
            path = self.path_of(generation)
            try:
                return LoadResult(decode(decode_file(path.read_bytes())), skipped)
            except (OSError, ValueError) as error:
                skipped.append(SkippedFile(path.name, str(error)))
        return LoadResult(None, skipped)

    def _write(self, path, data):
        file = self.disk.create(path)
        try:
            self.disk.write(file, data)
            self.disk.flush(file)
        finally:
            self.disk.close(file)

    def _remove_outdated(self, generations):
        """Removes all but the newest; `generations` are those from before the newest was written."""
        outdated = max(0, len(generations) + 1 - GENERATIONS_KEPT)
        for generation in generations[:outdated]:
            with suppress(OSError):  # one file too many does no harm
                self.disk.remove(self.path_of(generation))

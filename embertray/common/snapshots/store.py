"""A state folder of numbered snapshots, of which the newest intact one is loaded.

Each snapshot is written to a temporary file, flushed, and renamed to the next generation; then the folder is
flushed. No generation is ever overwritten, so a crash at any point leaves the old or the new one complete. A
file that is truncated, damaged or of a newer format is skipped with a reason, and the next older one is
loaded. docs/design/start.md compares this with a log, sqlite and lmdb.
"""

import fcntl
import os
from contextlib import suppress
from pathlib import Path
from typing import Any, NamedTuple

from .disk import Disk
from .exceptions import FolderLockedError
from .file_format import decode_file, encode_file

GENERATIONS_KEPT = 3  # files: the newest and two fallbacks
LOCK_FILE = "owner"  # contains the process id of the lock holder as text
LOCK_FILE_MODE = 0o644  # permission bits
LOCK_HOLDER_BYTES = 64  # read from the lock file for the error message
TEMPORARY_FILE = "next.tmp"
PREFIX = "list-"
SUFFIX = ".snap"


class SkippedFile(NamedTuple):
    """A snapshot file that could not be used.

    Attributes:
        name: Its name in the state folder.
        reason: Why it was skipped, as text.
    """

    name: str
    reason: str


class LoadResult(NamedTuple):
    """The result of loading from a state folder.

    Attributes:
        content: The newest readable content; None if there is none.
        skipped: The newer files that were skipped, newest first.
    """

    content: Any
    skipped: list[SkippedFile]


class SnapshotStore:
    """The snapshots of one state folder. Call `lock` before `save`.

    Args:
        folder: Path of the folder; `lock` creates it if it is missing.
        disk: A Disk; tests pass one that fails.
    """

    def __init__(self, folder, disk=None):
        self.folder = Path(folder)
        self.disk = disk or Disk()
        self._lock_file = None  # file descriptor while the folder is locked, else None

    def lock(self):
        """Creates the folder if needed and locks it for this process.

        The kernel releases the lock however the process ends, so no stale lock can remain.

        Raises:
            FolderLockedError: Another process has locked it; the message contains its process id.
            OSError: The folder can't be created or written.
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
        """Unlocks the folder if this store has locked it."""
        if self._lock_file is not None:
            os.close(self._lock_file)
            self._lock_file = None

    def generations(self):
        """Returns the generation numbers in the folder, oldest first; empty if it can't be listed."""
        try:
            numbers = [path.stem.removeprefix(PREFIX) for path in self.folder.glob(f"{PREFIX}*{SUFFIX}")]
        except OSError:
            return []
        return sorted(int(number) for number in numbers if number.isdigit())

    def path_of(self, generation):
        """Returns the path of a generation's file."""
        return self.folder / f"{PREFIX}{generation:012d}{SUFFIX}"

    def save(self, content):
        """Writes `content` as the newest snapshot. Blocks until it is durable.

        Args:
            content: Bytes.

        Returns:
            The number of the new generation.

        Raises:
            OSError: It could not be saved; the previous snapshots remain.
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
        """Loads the newest intact snapshot. Never raises.

        Args:
            decode: Decodes the content; if it raises ValueError, the next older file is tried.

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
        """Removes outdated files; `generations` are those that existed before the newest was written."""
        outdated = max(0, len(generations) + 1 - GENERATIONS_KEPT)
        for generation in generations[:outdated]:
            with suppress(OSError):  # a file that remains does no harm
                self.disk.remove(self.path_of(generation))

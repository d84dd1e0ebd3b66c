"""The file system calls of the snapshot store."""

import os

FILE_MODE = 0o644  # permission bits of a snapshot: operators may read it, only the owner writes


class Disk:
    """The file system calls of a store, one method each, so that tests can inject a failure into any of them.

    Every method may raise OSError.
    """

    def create(self, path):
        """Opens a new or emptied file for writing.

        Args:
            path: The file.

        Returns:
            Its file descriptor.
        """
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)

    def write(self, file, data):
        """Writes all bytes, in as many system calls as needed.

        Args:
            file: The file descriptor.
            data: The bytes.
        """
        while data:
            data = data[os.write(file, data) :]

    def flush(self, file):
        """Makes the data written to the file descriptor durable."""
        os.fsync(file)

    def close(self, file):
        """Closes the file descriptor."""
        os.close(file)

    def rename(self, old, new):
        """Renames the file `old` to `new`, atomically."""
        os.rename(old, new)

    def flush_folder(self, path):
        """Makes the entries of a folder durable: a rename survives a power failure only after this."""
        folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def remove(self, path):
        """Removes a file."""
        os.unlink(path)

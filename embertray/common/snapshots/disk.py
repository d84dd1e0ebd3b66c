"""The file system calls of a snapshot writer."""

import os

FILE_MODE = 0o644  # permission bits of a snapshot: operators may read it, only the owner writes


class Disk:
    """The system calls of a writer, one method each, so that tests can fail or stop at any of them.

    Every method raises OSError.
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
        """Writes all bytes, in as many system calls as it takes.

        Args:
            file: The file descriptor.
            data: The bytes.
        """
        while data:
            data = data[os.write(file, data) :]

    def flush(self, file):
        """Makes what was written to the file descriptor durable."""
        os.fsync(file)

    def close(self, file):
        """Closes the file descriptor."""
        os.close(file)

    def rename(self, old, new):
        """Gives the file `old` the name `new`, atomically."""
        os.rename(old, new)

    def flush_folder(self, path):
        """Makes the names in a folder durable: a rename survives a power cut only after this."""
        folder = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def remove(self, path):
        """Removes a file."""
        os.unlink(path)

"""The form of a snapshot file: a header with a checksum, then the compressed content.

The header is a magic number, a format number, and the length and the xxhash of what follows, which is the
content compressed by zstandard.
"""

import struct

import xxhash
import zstandard

from .exceptions import CorruptSnapshotError

MAGIC = b"EMBERTRY"  # first bytes of every snapshot file
FORMAT = 1  # the only format that this program writes and reads
HEADER = struct.Struct(">8sHQQ")  # magic, format, length in bytes, xxh64 of the compressed content
CONTENT_BYTES_MAX = (
    256 << 20
)  # bytes content may decompress to: a length that a flipped bit made is not trusted
COMPRESSION_LEVEL = 3  # of zstandard: its default


def encode_file(content):
    """Returns the bytes of a snapshot file with this content (bytes)."""
    compressed = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(content)
    checksum = xxhash.xxh64_intdigest(compressed)
    return HEADER.pack(MAGIC, FORMAT, len(compressed), checksum) + compressed


def decode_file(data):
    """Reads a snapshot file.

    Args:
        data: All bytes of the file.

    Returns:
        The content, as bytes.

    Raises:
        CorruptSnapshotError: The bytes are truncated, damaged, or of another format.
    """
    if len(data) < HEADER.size:
        raise CorruptSnapshotError(f"it has {len(data)} bytes, fewer than its head")
    magic, file_format, length, checksum = HEADER.unpack_from(data)
    compressed = data[HEADER.size :]
    if magic != MAGIC:
        raise CorruptSnapshotError("it does not begin as a snapshot does")
    if file_format != FORMAT:
        raise CorruptSnapshotError(f"it is of format {file_format}; this program reads {FORMAT}")
    if len(compressed) != length:
        raise CorruptSnapshotError(f"it has {len(compressed)} of {length} bytes")
    if xxhash.xxh64_intdigest(compressed) != checksum:
        raise CorruptSnapshotError("its checksum is wrong")
    try:
        return zstandard.ZstdDecompressor().decompress(compressed, max_output_size=CONTENT_BYTES_MAX)
    except zstandard.ZstdError as error:
        raise CorruptSnapshotError(f"it can't be unpacked: {error}") from None

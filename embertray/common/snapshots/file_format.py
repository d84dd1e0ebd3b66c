"""The format of a snapshot file: a header with a checksum, followed by the compressed content.

The header consists of a magic number, a format number, and the length and xxhash of the content as compressed
by zstandard.
"""

import struct

import xxhash
import zstandard

from .exceptions import CorruptSnapshotError

MAGIC = b"EMBERTRY"  # first bytes of every snapshot file
FORMAT = 1  # the only format that this version writes and reads
HEADER = struct.Struct(">8sHQQ")  # magic, format, length in bytes, xxh64 of the compressed content
# limit of the decompressed content: a length corrupted by a flipped bit must not exhaust the memory
CONTENT_BYTES_MAX = 256 << 20
COMPRESSION_LEVEL = 3  # zstandard's default


def encode_file(content):
    """Returns the bytes of a snapshot file with the given content (bytes)."""
    compressed = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(content)
    checksum = xxhash.xxh64_intdigest(compressed)
    return HEADER.pack(MAGIC, FORMAT, len(compressed), checksum) + compressed


def decode_file(data):
    """Decodes a snapshot file.

    Args:
        data: All bytes of the file.

    Returns:
        The content, as bytes.

    Raises:
        CorruptSnapshotError: The bytes are truncated, damaged, or of another format.
    """
    if len(data) < HEADER.size:
        raise CorruptSnapshotError(f"truncated header: {len(data)} bytes")
    magic, file_format, length, checksum = HEADER.unpack_from(data)
    compressed = data[HEADER.size :]
    if magic != MAGIC:
        raise CorruptSnapshotError("not a snapshot file: wrong magic number")
    if file_format != FORMAT:
        raise CorruptSnapshotError(f"unsupported format {file_format}; this version reads format {FORMAT}")
    if len(compressed) != length:
        raise CorruptSnapshotError(f"wrong length: {len(compressed)} of {length} bytes")
    if xxhash.xxh64_intdigest(compressed) != checksum:
        raise CorruptSnapshotError("checksum mismatch")
    try:
        return zstandard.ZstdDecompressor().decompress(compressed, max_output_size=CONTENT_BYTES_MAX)
    except zstandard.ZstdError as error:
        raise CorruptSnapshotError(f"decompression failed: {error}") from None

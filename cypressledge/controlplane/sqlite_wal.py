"""Detection of damage in sqlite's write-ahead log that sqlite ignores (section 4 of its file format)."""

import struct

HEADER_BYTES = 32
FRAME_HEADER_BYTES = 24
MIN_PAGE_BYTES, MAX_PAGE_BYTES = 512, 1 << 16
DEFAULT_PAGE_BYTES = 4_096  # bytes; used if the page size in the header is damaged

# Offsets in the log's header:
HEADER_SALT_OFFSET = 16
HEADER_CHECKSUM_OFFSET = 24
# Offsets in a frame's header:
COMMIT_SIZE_OFFSET = 4  # field: pages of the database after a transaction, 0 in its other frames
SALT_OFFSET = 8
CHECKSUM_OFFSET = 16
SALT_BYTES = 8


def _checksum(words: tuple[int, ...], sums: tuple[int, int]) -> tuple[int, int]:
    """Return the checksum `sums` continued over more words (section 4.2)."""
    first, second = sums
    for offset in range(0, len(words), 2):
        first = first + words[offset] + second & 0xFFFFFFFF
        second = second + words[offset + 1] + first & 0xFFFFFFFF
    return first, second


def count_transactions_after_damage(log: bytes) -> int:
    """Return the number of complete transactions in a write-ahead log from the first damaged frame on.

    sqlite drops them silently. Except for one at the end, whose write a power failure may have interrupted,
    they had been durable.
    """
    if len(log) < HEADER_BYTES + FRAME_HEADER_BYTES:
        return 0
    magic, _, page_bytes = struct.unpack_from(">III", log)
    if not MIN_PAGE_BYTES <= page_bytes <= MAX_PAGE_BYTES:
        page_bytes = DEFAULT_PAGE_BYTES
    byte_order = ">" if magic & 1 else "<"
    page_words = f"{byte_order}{page_bytes // 4}I"
    # The salt is taken from the first frame, because the header itself may be damaged.
    salt = log[HEADER_BYTES + SALT_OFFSET : HEADER_BYTES + SALT_OFFSET + SALT_BYTES]
    sums = _checksum(struct.unpack_from(byte_order + "6I", log), (0, 0))
    is_valid = (
        sums == struct.unpack_from(">2I", log, HEADER_CHECKSUM_OFFSET)
        and salt == log[HEADER_SALT_OFFSET : HEADER_SALT_OFFSET + SALT_BYTES]
    )
    lost_transactions = 0
    frame_bytes = FRAME_HEADER_BYTES + page_bytes
    for offset in range(HEADER_BYTES, len(log) - frame_bytes + 1, frame_bytes):
        has_salt = log[offset + SALT_OFFSET : offset + SALT_OFFSET + SALT_BYTES] == salt
        if is_valid:
            sums = _checksum(struct.unpack_from(byte_order + "2I", log, offset), sums)
            sums = _checksum(struct.unpack_from(page_words, log, offset + FRAME_HEADER_BYTES), sums)
            # sqlite ends the log at an invalid frame; frames with another salt are left from before a reset.
            is_valid = has_salt and sums == struct.unpack_from(">2I", log, offset + CHECKSUM_OFFSET)
        is_commit = log[offset + COMMIT_SIZE_OFFSET : offset + COMMIT_SIZE_OFFSET + 4] != bytes(4)
        if not is_valid and has_salt and is_commit:
            lost_transactions += 1
    return lost_transactions

"""Settings of the C library's allocator for a process with little memory."""

import contextlib
import ctypes

__all__ = ["return_large_blocks"]

M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
# The interpreter runs one thread at a time, so that more heaps only keep freed memory apart.
HEAPS_MAX = 2
LARGE_BYTES = 128 * 1024


def return_large_blocks() -> None:
    """Map blocks over 128 KB on their own, so that freeing one returns its memory.

    By default the threshold rises to the largest block that was freed, up to 32 MB. Bodies then lie
    on heaps, one for each thread, which grow by reallocation and are not returned.
    """
    with contextlib.suppress(OSError, AttributeError):
        library = ctypes.CDLL(None)
        library.mallopt(M_MMAP_THRESHOLD, LARGE_BYTES)
        library.mallopt(M_ARENA_MAX, HEAPS_MAX)

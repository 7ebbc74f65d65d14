"""Settings of the C library's memory allocator."""

from ctypes import CDLL

# From malloc.h of the GNU C library.
M_MMAP_THRESHOLD = -3
LARGE_BLOCK_BYTES = 262_144


def return_large_blocks() -> bool:
    """Let the memory of freed bodies return to the system at once.

    The GNU allocator does so above a size that grows with the blocks that
    are freed, up to 32 MB; smaller bodies then fragment its heap.  Returns
    False with a C library that has no such setting.
    """
    set_option = getattr(CDLL(None), "mallopt", None)
    if set_option is None:
        return False
    return bool(set_option(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES))

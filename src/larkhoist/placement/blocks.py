"""Count and find aligned blocks of adjacent accelerators on one worker.

Accelerators are bits of a mask. A block has a power-of-two size and starts at a
multiple of it (buddy allocation), so that blocks of one size never overlap.
"""

from functools import lru_cache

__all__ = ["count_blocks", "find_block", "get_level", "get_largest_level", "make_mask"]


def get_level(size: int) -> int:
    """Return the level of the smallest block that holds ``size`` accelerators."""
    return max(0, size - 1).bit_length()


def make_mask(count: int) -> int:
    """Return the mask with the lowest ``count`` bits set."""
    return (1 << count) - 1


@lru_cache(maxsize=65536)
def count_blocks(free: int, level: int) -> int:
    """Return the number of aligned blocks of ``level`` that are entirely free."""
    size = 1 << level
    block = make_mask(size)
    count = 0
    while free:
        count += free & block == block
        free >>= size
    return count


@lru_cache(maxsize=65536)
def get_largest_level(free: int) -> int:
    """Return the level of the largest free block, or -1 if none is free."""
    level = -1
    while count_blocks(free, level + 1):
        level += 1
    return level


@lru_cache(maxsize=65536)
def find_block(free: int, level: int) -> int:
    """Return the mask of a free block of ``level``, or 0 if there is none.

    The block is taken from the smallest free block that is large enough, so that
    larger blocks stay intact (best fit).
    """
    size = 1 << level
    best = 0
    best_level = 64
    for start in range(0, free.bit_length(), size):
        block = make_mask(size) << start
        if free & block != block:
            continue
        enclosing_level = _get_enclosing_level(free, start, level)
        if enclosing_level < best_level:
            best, best_level = block, enclosing_level
    return best


def _get_enclosing_level(free: int, start: int, level: int) -> int:
    while True:
        size = 1 << (level + 1)
        block = make_mask(size) << (start // size * size)
        if free & block != block:
            return level
        level += 1

"""KV cache memory of the engine stand-in, counted in blocks of tokens."""

from gooseberryquay.standins.prefix_cache import PrefixCache

__all__ = ["BLOCK_TOKENS", "KvMemory", "blocks_for"]

BLOCK_TOKENS = 16


def blocks_for(tokens: int) -> int:
    """Return the number of blocks needed for a number of tokens."""
    return -(-tokens // BLOCK_TOKENS)


class KvMemory:
    """Count blocks held by sequences and the prefix cache; unused cached blocks are evicted."""

    def __init__(self, total_blocks: int, cache: PrefixCache) -> None:
        self.total_blocks = total_blocks
        self._cache = cache
        self._held_blocks = 0

    @property
    def used_tokens(self) -> int:
        """Return the size, in tokens, of the blocks that cannot be reclaimed."""
        return (self._held_blocks + self._cache.pinned_blocks) * BLOCK_TOKENS

    @property
    def total_tokens(self) -> int:
        """Return the total memory, in tokens."""
        return self.total_blocks * BLOCK_TOKENS

    def allocate(self, blocks: int) -> bool:
        """Allocate blocks, evicting unused cached ones; allocate none and return False if full."""
        missing = self._held_blocks + len(self._cache) + blocks - self.total_blocks
        if missing > self._cache.evictable_blocks:
            return False
        for _ in range(missing):
            self._cache.evict()
        self._held_blocks += blocks
        return True

    def free(self, blocks: int) -> None:
        """Release blocks."""
        self._held_blocks -= blocks

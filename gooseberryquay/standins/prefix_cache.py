"""Prefix cache of prompt blocks with LRU eviction."""

from collections import OrderedDict
from collections.abc import Callable, Sequence

import xxhash

__all__ = ["PrefixCache", "block_hashes"]

CHARACTERS_PER_TOKEN = 4
TOKENS_PER_BLOCK = 16

CacheListener = Callable[[str, str], None]


def block_hashes(prompt: str) -> tuple[str, ...]:
    """Return the chained hashes of the complete blocks of a prompt."""
    size = CHARACTERS_PER_TOKEN * TOKENS_PER_BLOCK
    chain = xxhash.xxh64()
    hashes = []
    for start in range(0, len(prompt) - size + 1, size):
        chain.update(prompt[start : start + size].encode())
        hashes.append(chain.hexdigest())
    return tuple(hashes)


class PrefixCache:
    """Block hashes with a reference count of the sequences that use each."""

    def __init__(self, max_blocks: int, listener: CacheListener) -> None:
        self._max_blocks = max_blocks
        self._listener = listener
        self._reference_counts: dict[str, int] = {}
        self._unpinned: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._reference_counts)

    @property
    def evictable_blocks(self) -> int:
        """Return the number of blocks that no sequence uses."""
        return len(self._unpinned)

    @property
    def pinned_blocks(self) -> int:
        """Return the number of blocks that at least one sequence uses."""
        return len(self._reference_counts) - len(self._unpinned)

    def pin_prefix(self, hashes: Sequence[str]) -> tuple[str, ...]:
        """Pin the longest cached prefix and return its hashes."""
        found = []
        for each in hashes:
            if each not in self._reference_counts:
                break
            self._reference_counts[each] += 1
            self._unpinned.pop(each, None)
            found.append(each)
        return tuple(found)

    def insert(self, hashes: Sequence[str]) -> tuple[str, ...]:
        """Add computed blocks, pinned by the calling sequence; return those that were added."""
        added = []
        for each in hashes:
            if each in self._reference_counts or not self._evict_if_full():
                break
            self._reference_counts[each] = 1
            added.append(each)
            self._listener("stored", each)
        return tuple(added)

    def unpin(self, hashes: Sequence[str]) -> None:
        """Unpin blocks; they stay cached until evicted."""
        for each in reversed(hashes):
            self._reference_counts[each] -= 1
            if self._reference_counts[each] == 0:
                self._unpinned[each] = None

    def evict(self) -> None:
        """Evict the least recently used unpinned block."""
        oldest, _ = self._unpinned.popitem(last=False)
        del self._reference_counts[oldest]
        self._listener("evicted", oldest)

    def evict_unpinned(self) -> None:
        """Evict every unpinned block."""
        while self._unpinned:
            self.evict()

    def _evict_if_full(self) -> bool:
        if len(self._reference_counts) < self._max_blocks:
            return True
        if not self._unpinned:
            return False
        self.evict()
        return True

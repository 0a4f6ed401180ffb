"""Cache of prompt blocks, least recently used first out."""

from collections import OrderedDict
from collections.abc import Callable, Sequence

import xxhash

__all__ = ["PrefixCache", "block_hashes"]

CHARACTERS_PER_TOKEN = 4
TOKENS_PER_BLOCK = 16

CacheListener = Callable[[str, str], None]


def block_hashes(prompt: str) -> tuple[str, ...]:
    """Give the hash chain of the prompt's whole blocks."""
    size = CHARACTERS_PER_TOKEN * TOKENS_PER_BLOCK
    chain = xxhash.xxh64()
    hashes = []
    for start in range(0, len(prompt) - size + 1, size):
        chain.update(prompt[start : start + size].encode())
        hashes.append(chain.hexdigest())
    return tuple(hashes)


class PrefixCache:
    """Hold block hashes with the number of sequences that use each."""

    def __init__(self, max_blocks: int, listener: CacheListener) -> None:
        self._max_blocks = max_blocks
        self._listener = listener
        self._users: dict[str, int] = {}
        self._idle: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._users)

    @property
    def evictable_blocks(self) -> int:
        """Give the number of blocks that no sequence uses."""
        return len(self._idle)

    @property
    def pinned_blocks(self) -> int:
        """Give the number of blocks that some sequence uses."""
        return len(self._users) - len(self._idle)

    def pin_prefix(self, hashes: Sequence[str]) -> tuple[str, ...]:
        """Use the longest cached prefix and give its hashes."""
        found = []
        for each in hashes:
            if each not in self._users:
                break
            self._users[each] += 1
            self._idle.pop(each, None)
            found.append(each)
        return tuple(found)

    def insert(self, hashes: Sequence[str]) -> tuple[str, ...]:
        """Add blocks that the caller computed, in use by it; give those that were added."""
        added = []
        for each in hashes:
            if each in self._users or not self._make_room():
                break
            self._users[each] = 1
            added.append(each)
            self._listener("stored", each)
        return tuple(added)

    def unpin(self, hashes: Sequence[str]) -> None:
        """End the use of blocks; they stay cached until evicted."""
        for each in reversed(hashes):
            self._users[each] -= 1
            if self._users[each] == 0:
                self._idle[each] = None

    def evict(self) -> None:
        """Drop the least recently used block that is not in use."""
        oldest, _ = self._idle.popitem(last=False)
        del self._users[oldest]
        self._listener("evicted", oldest)

    def clear_idle(self) -> None:
        """Drop every block that is not in use."""
        while self._idle:
            self.evict()

    def _make_room(self) -> bool:
        if len(self._users) < self._max_blocks:
            return True
        if not self._idle:
            return False
        self.evict()
        return True

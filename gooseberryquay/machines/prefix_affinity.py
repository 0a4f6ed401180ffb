"""Upstreams that lately ran a prompt prefix and may still have it cached."""

from collections import OrderedDict

from gooseberryquay.ids import UpstreamId

__all__ = ["PrefixMemory"]

MAX_PREFIXES = 4096
MAX_HOLDERS = 4


class PrefixMemory:
    """Remember the last upstreams of each prefix, least recently used dropped first."""

    def __init__(self, max_prefixes: int = MAX_PREFIXES) -> None:
        self._max_prefixes = max_prefixes
        self._holders: OrderedDict[str, tuple[UpstreamId, ...]] = OrderedDict()

    def holders(self, prefix_hash: str) -> tuple[UpstreamId, ...]:
        """Give the upstreams that lately ran the prefix, the latest first."""
        return self._holders.get(prefix_hash, ()) if prefix_hash else ()

    def note(self, prefix_hash: str, upstream: UpstreamId) -> None:
        """Take in that an upstream runs the prefix."""
        if not prefix_hash:
            return
        others = [each for each in self.holders(prefix_hash) if each != upstream]
        self._holders[prefix_hash] = (upstream, *others[: MAX_HOLDERS - 1])
        self._holders.move_to_end(prefix_hash)
        if len(self._holders) > self._max_prefixes:
            self._holders.popitem(last=False)

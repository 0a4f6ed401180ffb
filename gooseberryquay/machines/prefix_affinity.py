"""Prompt-prefix affinity: upstreams that recently ran a prefix and may still cache it."""

from collections import OrderedDict

from gooseberryquay.ids import UpstreamId

__all__ = ["PrefixAffinity"]

MAX_PREFIXES = 4096
MAX_HOLDERS = 4


class PrefixAffinity:
    """Map each prefix to its most recent upstreams; evict the least recently used prefix."""

    def __init__(self, max_prefixes: int = MAX_PREFIXES) -> None:
        self._max_prefixes = max_prefixes
        self._holders: OrderedDict[str, tuple[UpstreamId, ...]] = OrderedDict()

    def holders(self, prefix_hash: str) -> tuple[UpstreamId, ...]:
        """Return the upstreams that recently ran the prefix, most recent first."""
        return self._holders.get(prefix_hash, ()) if prefix_hash else ()

    def record_holder(self, prefix_hash: str, upstream: UpstreamId) -> None:
        """Record that an upstream runs the prefix."""
        if not prefix_hash:
            return
        others = [each for each in self.holders(prefix_hash) if each != upstream]
        self._holders[prefix_hash] = (upstream, *others[: MAX_HOLDERS - 1])
        self._holders.move_to_end(prefix_hash)
        if len(self._holders) > self._max_prefixes:
            self._holders.popitem(last=False)

"""A response of an upstream that was read completely."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from gooseberryquay.ids import UpstreamId
from gooseberryquay.serving.call import HeaderPair

__all__ = ["WholeAnswer"]


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """Represent a response that was read completely."""

    status: int
    headers: Sequence[HeaderPair]
    body: bytes
    upstream: UpstreamId | None = field(default=None, compare=False)

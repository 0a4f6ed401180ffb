"""A response of an upstream that was read completely."""

from collections.abc import Sequence
from dataclasses import dataclass, field

from gooseberryquay.ids import UpstreamId
from gooseberryquay.serving.call import HeaderPair
from gooseberryquay.serving.response_buffer_budget import ResponseBufferReservation

__all__ = ["WholeAnswer"]


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """Represent a response that was read completely."""

    status: int
    headers: Sequence[HeaderPair]
    body: bytes
    upstream: UpstreamId | None = field(default=None, compare=False)
    # The memory of the body, held until the caller has read it.
    reservation: ResponseBufferReservation | None = field(default=None, compare=False)

    def release(self) -> None:
        """Return the memory of the body."""
        if self.reservation is not None:
            self.reservation.release()

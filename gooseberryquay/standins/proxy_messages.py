"""Control messages of the TCP fault proxy."""

from enum import Enum
from typing import Annotated, Literal

from pydantic import BaseModel, Field, TypeAdapter

__all__ = [
    "CutConnections",
    "DelayBytes",
    "Direction",
    "HangConnections",
    "HealLink",
    "LoseAnswers",
    "ProxyCounts",
    "ProxyFault",
    "RefuseConnections",
    "ResetConnections",
    "ResetRequests",
    "SilenceConnections",
    "StallBytes",
    "parse_proxy_fault",
]


class Direction(Enum):
    """Directions of traffic through a link."""

    TO_TARGET = "to_target"
    TO_CALLER = "to_caller"
    BOTH = "both"

    def includes(self, other: "Direction") -> bool:
        """Return whether a fault in this direction affects traffic in direction `other`."""
        return self is Direction.BOTH or self is other


class DelayBytes(BaseModel):
    """Delay all bytes by `delay_s` seconds."""

    kind: Literal["delay"] = "delay"
    delay_s: float
    direction: Direction = Direction.BOTH


class StallBytes(BaseModel):
    """Hold back all bytes until the link is healed."""

    kind: Literal["stall"] = "stall"
    direction: Direction = Direction.BOTH


class SilenceConnections(BaseModel):
    """Discard all bytes of the currently open connections permanently; new ones work."""

    kind: Literal["silence"] = "silence"
    direction: Direction = Direction.BOTH


class CutConnections(BaseModel):
    """Close the currently open connections."""

    kind: Literal["cut"] = "cut"


class ResetConnections(BaseModel):
    """Reset the currently open connections."""

    kind: Literal["reset"] = "reset"


class RefuseConnections(BaseModel):
    """Refuse new connections until the link is healed."""

    kind: Literal["refuse"] = "refuse"


class HangConnections(BaseModel):
    """Let new connections hang until the link is healed, as a partition does."""

    kind: Literal["hang"] = "hang"


class LoseAnswers(BaseModel):
    """Forward requests but close each connection instead of its response, until healed."""

    kind: Literal["lose_answers"] = "lose_answers"


class ResetRequests(BaseModel):
    """Accept connections but reset each one at its next bytes of a request, until healed."""

    kind: Literal["reset_requests"] = "reset_requests"


class HealLink(BaseModel):
    """Remove delays, stalls, refusals, resets of requests and lost responses."""

    kind: Literal["heal"] = "heal"


class ProxyCounts(BaseModel):
    """Counts of connections and bytes through a fault proxy."""

    connections: int = 0
    open_connections: int = 0
    bytes_to_target: int = 0
    bytes_to_caller: int = 0


ProxyFault = Annotated[
    DelayBytes
    | StallBytes
    | SilenceConnections
    | CutConnections
    | ResetConnections
    | RefuseConnections
    | HangConnections
    | LoseAnswers
    | ResetRequests
    | HealLink,
    Field(discriminator="kind"),
]
_ADAPTER: TypeAdapter[ProxyFault] = TypeAdapter(ProxyFault)


def parse_proxy_fault(text: bytes) -> ProxyFault:
    """Parse a control message; raise `pydantic.ValidationError` if it is invalid."""
    return _ADAPTER.validate_json(text)

"""Control messages of the TCP fault proxy."""

from enum import Enum
from typing import Annotated, Literal

from pydantic import BaseModel, Field, TypeAdapter

__all__ = [
    "CutConnections",
    "DelayBytes",
    "Direction",
    "HealLink",
    "LoseAnswers",
    "ProxyCounts",
    "ProxyFault",
    "RefuseConnections",
    "ResetConnections",
    "SilenceConnections",
    "StallBytes",
    "parse_proxy_fault",
]


class Direction(Enum):
    """Tell the ways through a link."""

    TO_TARGET = "to_target"
    TO_CALLER = "to_caller"
    BOTH = "both"

    def includes(self, other: "Direction") -> bool:
        """Tell whether a fault in this direction hits bytes that go the other's way."""
        return self is Direction.BOTH or self is other


class DelayBytes(BaseModel):
    """Pass all bytes on later."""

    kind: Literal["delay"] = "delay"
    delay_s: float
    direction: Direction = Direction.BOTH


class StallBytes(BaseModel):
    """Hold all bytes until the link is healed."""

    kind: Literal["stall"] = "stall"
    direction: Direction = Direction.BOTH


class SilenceConnections(BaseModel):
    """Swallow all bytes of the connections open now, for good; new ones work."""

    kind: Literal["silence"] = "silence"
    direction: Direction = Direction.BOTH


class CutConnections(BaseModel):
    """Close the connections open now."""

    kind: Literal["cut"] = "cut"


class ResetConnections(BaseModel):
    """Reset the connections open now."""

    kind: Literal["reset"] = "reset"


class RefuseConnections(BaseModel):
    """Refuse new connections until the link is healed."""

    kind: Literal["refuse"] = "refuse"


class LoseAnswers(BaseModel):
    """Pass requests on and close each connection in place of its answer, until healed."""

    kind: Literal["lose_answers"] = "lose_answers"


class HealLink(BaseModel):
    """End delay, stall, refusal and lost answers."""

    kind: Literal["heal"] = "heal"


class ProxyCounts(BaseModel):
    """Count what went through a fault proxy."""

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
    | LoseAnswers
    | HealLink,
    Field(discriminator="kind"),
]
_ADAPTER: TypeAdapter[ProxyFault] = TypeAdapter(ProxyFault)


def parse_proxy_fault(text: bytes) -> ProxyFault:
    """Read a control message; raises `pydantic.ValidationError` where it is none."""
    return _ADAPTER.validate_json(text)

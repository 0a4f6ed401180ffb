"""Messages of the engine stand-in's own routes."""

from pydantic import BaseModel, Field

__all__ = ["CacheEvent", "CacheEventList", "EngineCounts", "EngineOrder", "ExecutedOrder"]


class EngineOrder(BaseModel):
    """Order an engine to load or change something."""

    fencing_number: int
    order: str
    name: str = ""


class ExecutedOrder(BaseModel):
    """Record one executed order; the time is of the monotonic clock."""

    fencing_number: int
    order: str
    name: str
    started_at_s: float


class CacheEvent(BaseModel):
    """Report a prompt block that was stored or evicted."""

    number: int
    change: str
    block: str


class CacheEventList(BaseModel):
    """Hold cache events after a number, with gaps."""

    events: tuple[CacheEvent, ...]


class EngineCounts(BaseModel):
    """Count what one engine stand-in did since its start."""

    runs: dict[str, int] = Field(default_factory=dict)
    arrivals: int = 0
    arrivals_while_leaving: int = 0
    refused: int = 0
    finished: int = 0
    cancelled: int = 0
    resumed: int = 0
    tokens: int = 0
    preemptions: int = 0
    preempted: dict[str, int] = Field(default_factory=dict)
    stall_s: float = 0.0
    peak_in_flight: int = 0
    peak_cold_in_flight: int = 0
    cold_cap_exceeded: int = 0
    prompt_tokens: int = 0
    cached_prompt_tokens: int = 0
    orders: list[ExecutedOrder] = Field(default_factory=list)
    fenced_orders: int = 0

"""Messages of the routes that are specific to the engine stand-in."""

from pydantic import BaseModel, Field

__all__ = ["CacheEvent", "CacheEventList", "EngineCounts", "EngineOrder", "ExecutedOrder"]


class EngineOrder(BaseModel):
    """Order to an engine to load or change something, with a fencing number."""

    fencing_number: int
    order: str
    name: str = ""


class ExecutedOrder(BaseModel):
    """One executed order; `started_at_s` is a time of the monotonic clock."""

    fencing_number: int
    order: str
    name: str
    started_at_s: float


class CacheEvent(BaseModel):
    """Event for a prompt block that was stored or evicted."""

    number: int
    change: str
    block: str


class CacheEventList(BaseModel):
    """Cache events after a given number, possibly with gaps."""

    events: tuple[CacheEvent, ...]


class EngineCounts(BaseModel):
    """Counts of one engine stand-in since its start."""

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

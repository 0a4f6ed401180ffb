"""One request of a caller and what it asks of an engine."""

from dataclasses import dataclass

from gooseberryquay.ids import RequestId

__all__ = ["Call", "GenerationDemand", "HeaderPair", "PromptPart"]

HeaderPair = tuple[str, str]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Name a part of a prompt that other requests may share."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class GenerationDemand:
    """Describe a generation: its model, its prompt and how long it may become."""

    model: str
    prompt_tokens: int
    output_tokens_max: int
    output_tokens_hint: int | None
    parts: tuple[PromptPart, ...]


@dataclass(frozen=True, slots=True)
class Call:
    """Hold one request; the target is the raw path and query, headers those to be passed on."""

    id: RequestId
    method: str
    target: str
    host: str
    path: str
    key: str | None
    headers: tuple[HeaderPair, ...]
    body: bytes
    arrived_at_s: float
    deadline_at_s: float
    resume_after: str | None
    demand: GenerationDemand | None

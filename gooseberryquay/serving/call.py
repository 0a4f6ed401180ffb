"""Caller requests and their demands on an engine."""

from dataclasses import dataclass

from gooseberryquay.ids import RequestId

__all__ = ["Call", "GenerationDemand", "HeaderPair", "PromptPart"]

HeaderPair = tuple[str, str]


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Identify a part of a prompt that other requests may share."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class GenerationDemand:
    """Describe the model, prompt length and output length of a generation, in tokens."""

    model: str
    prompt_tokens: int
    output_tokens_max: int
    output_tokens_hint: int | None
    parts: tuple[PromptPart, ...]


@dataclass(frozen=True, slots=True)
class Call:
    """Represent one request.

    `target` is the raw path and query; `headers` are those to be forwarded. A caller that takes a
    stream up again after the event `resume_after` names in `resumes` the request that began it.
    """

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
    resumes: RequestId | None = None

"""Parsing of completion and chat requests into generation requests."""

import random
from dataclasses import dataclass
from math import log

from pydantic import BaseModel, Field

from gooseberryquay.ids import GenerationId
from gooseberryquay.links.http_server import Request
from gooseberryquay.standins.engine_settings import EngineSettings
from gooseberryquay.standins.generation import GenerationRequest
from gooseberryquay.standins.kv_memory import BLOCK_TOKENS
from gooseberryquay.standins.prefix_cache import CHARACTERS_PER_TOKEN
from gooseberryquay.standins.token_events import ApiKind, EventEncoder

__all__ = ["ParsedGenerationRequest", "read_generation_request"]

DEFAULT_PRIORITY = 5


class _Message(BaseModel):
    role: str
    content: str


class _CompletionBody(BaseModel):
    model: str = ""
    prompt: str = ""
    messages: tuple[_Message, ...] = ()
    stream: bool = False
    max_tokens: int | None = Field(default=None, ge=1)
    max_completion_tokens: int | None = Field(default=None, ge=1)
    standin_output_tokens: int | None = Field(default=None, ge=1)

    def full_prompt(self) -> str:
        """Return the prompt, or all messages joined."""
        if self.messages:
            return "\n".join(f"{each.role}: {each.content}" for each in self.messages)
        return self.prompt


@dataclass(frozen=True)
class ParsedGenerationRequest:
    """Generation request, and whether its response is a stream."""

    generation: GenerationRequest
    is_stream: bool


def read_generation_request(
    request: Request, kind: ApiKind, settings: EngineSettings, rng: random.Random
) -> ParsedGenerationRequest:
    """Parse a request; raise `ValueError` if it is invalid or exceeds the KV memory."""
    body = _CompletionBody.model_validate_json(request.body)
    prompt = body.full_prompt()
    limit = min(settings.output_tokens_max, _tokens_that_fit(prompt, settings))
    if limit < 1:
        raise ValueError("the prompt does not fit into the KV memory")
    limit = min(limit, body.max_completion_tokens or body.max_tokens or limit)
    target_tokens = body.standin_output_tokens or _draw_length(settings, rng)
    generation_id = GenerationId(
        request.headers.get("x-request-id") or f"{rng.getrandbits(64):016x}"
    )
    reason = "stop" if target_tokens <= limit else "length"
    generation = GenerationRequest(
        id=generation_id,
        prompt=prompt,
        priority=int(request.headers.get("x-priority", DEFAULT_PRIORITY)),
        output_tokens=min(target_tokens, limit),
        encoder=EventEncoder(kind, generation_id, body.model, reason),
        is_poison=settings.poison_marker.encode() in request.body,
    )
    return ParsedGenerationRequest(generation, body.stream)


def _tokens_that_fit(prompt: str, settings: EngineSettings) -> int:
    total = settings.kv_blocks * BLOCK_TOKENS
    return total - len(prompt) // CHARACTERS_PER_TOKEN - BLOCK_TOKENS


def _draw_length(settings: EngineSettings, rng: random.Random) -> int:
    mean = log(settings.output_tokens_median)
    return max(1, round(rng.lognormvariate(mean, settings.output_tokens_sigma)))

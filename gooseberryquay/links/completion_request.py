"""Request bodies of the completion API."""

import json
from typing import Annotated, Literal

import xxhash
from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok, Result

from gooseberryquay.errors import InvalidRequest

__all__ = ["ChatMessage", "CompletionRequest", "parse_completion_request"]

BYTES_PER_TOKEN = 4
PREFIX_BYTES = 512
DEFAULT_MAX_TOKENS = 4096
MAX_REPORTED_PROBLEMS = 5


class ChatMessage(BaseModel):
    """Represent one chat message."""

    model_config = ConfigDict(extra="allow")

    role: Annotated[str, Field(max_length=64)]
    content: str | list[dict[str, object]] | None = None


class CompletionRequest(BaseModel):
    """Represent a completion request; unknown fields are passed on to the engine."""

    model_config = ConfigDict(extra="allow", strict=True)

    model: Annotated[str, Field(min_length=1, max_length=200)]
    prompt: str | None = None
    messages: Annotated[list[ChatMessage], Field(min_length=1)] | None = None
    max_tokens: Annotated[int, Field(ge=1, le=1_000_000)] | None = None
    n: Literal[1] | None = None
    stream: bool = False

    def prompt_bytes(self) -> bytes:
        """Return the whole prompt as bytes."""
        if self.messages is None:
            return (self.prompt or "").encode(errors="replace")
        dumped = [message.model_dump() for message in self.messages]
        return json.dumps(dumped, separators=(",", ":")).encode()

    def prompt_tokens(self) -> int:
        """Estimate the length of the prompt in tokens."""
        return len(self.prompt_bytes()) // BYTES_PER_TOKEN + 1

    def prefix_hash(self) -> str:
        """Return a hash of the prompt's first `PREFIX_BYTES` bytes."""
        return xxhash.xxh64_hexdigest(self.prompt_bytes()[:PREFIX_BYTES])

    def fingerprint(self) -> str:
        """Return a hash of the model and the prompt, equal for equal requests."""
        return xxhash.xxh64_hexdigest(self.model.encode(errors="replace") + self.prompt_bytes())

    def upstream_body(self) -> bytes:
        """Encode the request for an engine; engines always stream."""
        return self.model_copy(update={"stream": True}).model_dump_json(exclude_none=True).encode()


def parse_completion_request(
    body: bytes, is_chat: bool
) -> Result[CompletionRequest, InvalidRequest]:
    """Parse and validate a request body; the failure names the invalid fields."""
    try:
        request = CompletionRequest.model_validate_json(body)
    except ValidationError as error:
        return Err(InvalidRequest(_describe(error)))
    if is_chat and request.messages is None:
        return Err(InvalidRequest("messages: field required"))
    if not is_chat and request.prompt is None:
        return Err(InvalidRequest("prompt: field required"))
    return Ok(request)


def _describe(error: ValidationError) -> str:
    problems = error.errors(include_input=False, include_url=False)[:MAX_REPORTED_PROBLEMS]
    return "; ".join(
        f"{'.'.join(map(str, each['loc'])) or 'body'}: {each['msg']}" for each in problems
    )

"""Event and response formats of the OpenAI-compatible completion APIs."""

import json
from enum import Enum
from typing import Any

__all__ = ["DONE_EVENT", "ApiKind", "EventEncoder"]

DONE_EVENT = b"data: [DONE]\n\n"
CREATED_S = 1_700_000_000


class ApiKind(Enum):
    """Text completion or chat completion API."""

    COMPLETION = "completion"
    CHAT = "chat"


class EventEncoder:
    """Encode tokens of one generation as server-sent events of one API."""

    def __init__(self, kind: ApiKind, generation: str, model: str, finish_reason: str) -> None:
        self._kind = kind
        self._generation = generation
        self._model = model
        self._finish_reason = finish_reason
        self._head, self._tail = self._split_template(None)

    def encode(self, event_id: str, index: int, text: str, is_last: bool) -> bytes:
        """Encode one token; `text` must need no JSON escapes."""
        head, tail = self._head, self._tail
        if is_last:
            head, tail = self._split_template(self._finish_reason)
        return f"id: {event_id}/{index}\ndata: {head}{text}{tail}\n\n".encode()

    def encode_response(self, text: str, prompt_tokens: int, output_tokens: int) -> bytes:
        """Encode the complete response to a request without a stream."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": self._finish_reason}
        choice["logprobs"] = None
        if self._kind is ApiKind.CHAT:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        answer = self._envelope("chat.completion", choice)
        answer["usage"] = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": output_tokens,
            "total_tokens": prompt_tokens + output_tokens,
        }
        return json.dumps(answer).encode()

    def _split_template(self, finish_reason: str | None) -> tuple[str, str]:
        placeholder = "@text@"
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if self._kind is ApiKind.CHAT:
            choice["delta"] = {"role": "assistant", "content": placeholder}
        else:
            choice["text"] = placeholder
            choice["logprobs"] = None
        envelope = self._envelope("chat.completion.chunk", choice)
        head, _, tail = json.dumps(envelope, separators=(",", ":")).partition(placeholder)
        return head, tail

    def _envelope(self, chat_object: str, choice: dict[str, Any]) -> dict[str, Any]:
        is_chat = self._kind is ApiKind.CHAT
        return {
            "id": self._generation,
            "object": chat_object if is_chat else "text_completion",
            "created": CREATED_S,
            "model": self._model,
            "choices": [choice],
        }

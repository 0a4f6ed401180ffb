"""Assembly of the events of one generation into a complete response."""

import json
from typing import Any

__all__ = ["WholeAnswer"]

EVENT_END = b"\n\n"
DATA_FIELD = b"data: "
DONE_DATA = b"[DONE]"


class WholeAnswer:
    """Collect events and encode them as one JSON response."""

    def __init__(self, is_chat: bool) -> None:
        self._is_chat = is_chat
        self.clear()

    def clear(self) -> None:
        """Discard the events of a lost generation."""
        self._texts: list[str] = []
        self._last: dict[str, Any] = {}
        self._finish_reason: str | None = None
        self._usage: dict[str, Any] | None = None

    def add(self, events: bytes) -> None:
        """Add complete events."""
        for event in events.split(EVENT_END):
            start = event.find(DATA_FIELD)
            data = event[start + len(DATA_FIELD) :] if start >= 0 else b""
            if data and data != DONE_DATA:
                self._add_chunk(json.loads(data))

    def _add_chunk(self, chunk: dict[str, Any]) -> None:
        self._last = chunk
        self._usage = chunk.get("usage") or self._usage
        for choice in chunk.get("choices", []):
            text = choice.get("delta", {}).get("content") if self._is_chat else choice.get("text")
            self._texts.append(text or "")
            self._finish_reason = choice.get("finish_reason") or self._finish_reason

    def encode(self) -> bytes:
        """Encode the response in the format of a non-streaming completion."""
        text = "".join(self._texts)
        choice: dict[str, Any] = {"index": 0, "finish_reason": self._finish_reason}
        if self._is_chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        response = {
            "id": self._last.get("id", ""),
            "object": "chat.completion" if self._is_chat else "text_completion",
            "created": self._last.get("created", 0),
            "model": self._last.get("model", ""),
            "choices": [choice],
            "usage": self._usage,
        }
        return json.dumps(response).encode()

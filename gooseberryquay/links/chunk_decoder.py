"""Incremental decoder of the chunked transfer coding."""

__all__ = ["ChunkDecoder", "MalformedChunk"]

LINE_END = b"\r\n"
MAX_SIZE_LINE_BYTES = 256


class MalformedChunk(ValueError):
    """Raised for bytes that are not a valid chunked body."""


class ChunkDecoder:
    """Decode the raw bytes of one chunked body."""

    def __init__(self) -> None:
        self._pending = b""
        self._remaining_bytes = 0
        self._is_in_chunk = False
        self.is_ended = False

    @property
    def is_at_boundary(self) -> bool:
        """Return whether the next raw byte starts a chunk."""
        return not (self._pending or self._is_in_chunk)

    def decode(self, raw: bytes) -> bytes:
        """Consume raw bytes and return their content; raises `MalformedChunk`."""
        data = self._pending + raw if self._pending else raw
        content: list[bytes] = []
        position = 0
        while not self.is_ended:
            if self._is_in_chunk:
                part = data[position : position + self._remaining_bytes]
                content.append(part)
                position += len(part)
                self._remaining_bytes -= len(part)
                next_position = self._read_chunk_end(data, position)
            else:
                next_position = self._read_size(data, position)
            if next_position < 0:
                break
            position = next_position
        self._pending = data[position:]
        return b"".join(content)

    def _read_chunk_end(self, data: bytes, position: int) -> int:
        """Return the position after the chunk's line end, or -1 if it has not arrived."""
        end = data[position : position + len(LINE_END)]
        if self._remaining_bytes or end == b"" or end == LINE_END[:1]:
            return -1
        if end != LINE_END:
            raise MalformedChunk("chunk data does not end at the declared size")
        self._is_in_chunk = False
        return position + len(LINE_END)

    def _read_size(self, data: bytes, position: int) -> int:
        """Return the position after a chunk size line, or -1 if it is still incomplete."""
        line_end = data.find(LINE_END, position)
        if line_end < 0:
            if len(data) - position > MAX_SIZE_LINE_BYTES:
                raise MalformedChunk("chunk size line is too long")
            return -1
        line = data[position:line_end]
        try:
            self._remaining_bytes = int(line.partition(b";")[0], 16)
        except ValueError as error:
            raise MalformedChunk(f"invalid chunk size: {line[:20]!r}") from error
        if self._remaining_bytes < 0:
            raise MalformedChunk("negative chunk size")
        self.is_ended = self._remaining_bytes == 0
        self._is_in_chunk = not self.is_ended
        return line_end + len(LINE_END)

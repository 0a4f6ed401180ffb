"""Decode the chunked transfer coding from raw bytes."""

__all__ = ["BrokenChunk", "ChunkDecoder"]

LINE_END = b"\r\n"
MAX_SIZE_LINE_BYTES = 256


class BrokenChunk(ValueError):
    """Report bytes that are not a chunked body."""


class ChunkDecoder:
    """Turn the raw bytes of one chunked body into its content."""

    def __init__(self) -> None:
        self._pending = b""
        self._left_bytes = 0
        self._is_in_chunk = False
        self.is_ended = False

    @property
    def is_at_boundary(self) -> bool:
        """Tell whether the next raw byte starts a chunk."""
        return not (self._pending or self._is_in_chunk)

    def decode(self, raw: bytes) -> bytes:
        """Take in raw bytes and give the content among them; errors are `BrokenChunk`."""
        data = self._pending + raw if self._pending else raw
        content: list[bytes] = []
        position = 0
        while not self.is_ended:
            if self._is_in_chunk:
                part = data[position : position + self._left_bytes]
                content.append(part)
                position += len(part)
                self._left_bytes -= len(part)
                behind = self._read_chunk_end(data, position)
            else:
                behind = self._read_size(data, position)
            if behind < 0:
                break
            position = behind
        self._pending = data[position:]
        return b"".join(content)

    def _read_chunk_end(self, data: bytes, position: int) -> int:
        """Give the position behind the chunk's line end; -1 if it has not arrived."""
        end = data[position : position + len(LINE_END)]
        if self._left_bytes or end == b"" or end == LINE_END[:1]:
            return -1
        if end != LINE_END:
            raise BrokenChunk("a chunk does not end where its size says")
        self._is_in_chunk = False
        return position + len(LINE_END)

    def _read_size(self, data: bytes, position: int) -> int:
        """Give the position behind a size line; -1 if it has not arrived whole."""
        line_end = data.find(LINE_END, position)
        if line_end < 0:
            if len(data) - position > MAX_SIZE_LINE_BYTES:
                raise BrokenChunk("a chunk size line is too long")
            return -1
        line = data[position:line_end]
        try:
            self._left_bytes = int(line.partition(b";")[0], 16)
        except ValueError as error:
            raise BrokenChunk(f"not a chunk size: {line[:20]!r}") from error
        if self._left_bytes < 0:
            raise BrokenChunk("negative chunk size")
        self.is_ended = self._left_bytes == 0
        self._is_in_chunk = not self.is_ended
        return line_end + len(LINE_END)

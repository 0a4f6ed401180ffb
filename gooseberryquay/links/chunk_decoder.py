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
        self._is_first = True
        self.is_ended = False

    def decode(self, raw: bytes) -> bytes:
        """Take in raw bytes and give the content among them; errors are `BrokenChunk`."""
        data = self._pending + raw if self._pending else raw
        content: list[bytes] = []
        position = 0
        while not self.is_ended:
            if not self._left_bytes:
                behind_size = self._read_size(data, position)
                if behind_size < 0:
                    break
                position = behind_size
            part = data[position : position + self._left_bytes]
            content.append(part)
            position += len(part)
            self._left_bytes -= len(part)
            if self._left_bytes:
                break
        self._pending = data[position:]
        return b"".join(content)

    def _read_size(self, data: bytes, position: int) -> int:
        """Read a size line and the line end of the chunk before it; -1 if it is not whole."""
        if not self._is_first:
            if not LINE_END.startswith(data[position : position + len(LINE_END)]):
                raise BrokenChunk("a chunk does not end where its size says")
            position += len(LINE_END)
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
        self._is_first = False
        self.is_ended = self._left_bytes == 0
        return line_end + len(LINE_END)

"""HTTP/1.1 messages on plain sockets, for stand-ins that break off, stay silent or reset."""

import contextlib
import socket
import struct
import threading
from dataclasses import dataclass, field

HEAD_END = b"\r\n\r\n"
READ_BYTES = 65536
RESET = struct.pack("ii", 1, 0)


class Ended(Exception):
    """The peer has closed the connection."""


@dataclass
class Message:
    """One request or response; header names are lower case."""

    first_line: str
    headers: dict[str, str]
    body: bytes = b""
    method: str = ""
    target: str = ""
    status: int = 0
    pairs: list[tuple[str, str]] = field(default_factory=list)


class Wire:
    """Read and write messages on one connection."""

    def __init__(self, connection: socket.socket) -> None:
        self.socket = connection
        self._pending = b""
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def fill(self) -> None:
        """Wait for more bytes."""
        received = self.socket.recv(READ_BYTES)
        if not received:
            raise Ended
        self._pending += received

    def read_until(self, mark: bytes) -> bytes:
        """Return the bytes before a mark, and take both."""
        while mark not in self._pending:
            self.fill()
        found, _, self._pending = self._pending.partition(mark)
        return found

    def read(self, count: int) -> bytes:
        """Return a number of bytes."""
        while len(self._pending) < count:
            self.fill()
        found, self._pending = self._pending[:count], self._pending[count:]
        return found

    def read_head(self) -> Message:
        """Return the head of the next message."""
        lines = self.read_until(HEAD_END).decode("latin-1").split("\r\n")
        pairs = []
        for line in lines[1:]:
            name, _, value = line.partition(":")
            pairs.append((name.strip().lower(), value.strip()))
        message = Message(lines[0], dict(pairs), pairs=pairs)
        words = lines[0].split(" ", 2)
        if words[0].startswith("HTTP/"):
            message.status = int(words[1])
        else:
            message.method, message.target = words[0], words[1]
        return message

    def read_chunks(self):
        """Yield the chunks of a chunked body."""
        while True:
            size = int(self.read_until(b"\r\n").split(b";")[0], 16)
            part = self.read(size)
            self.read_until(b"\r\n")
            if not size:
                return
            yield part

    def read_message(self) -> Message:
        """Return the next message with its whole body."""
        message = self.read_head()
        if "chunked" in message.headers.get("transfer-encoding", "").lower():
            message.body = b"".join(self.read_chunks())
        elif "content-length" in message.headers:
            message.body = self.read(int(message.headers["content-length"]))
        elif message.status and message.status not in (204, 304):
            with contextlib.suppress(Ended):
                while True:
                    self.fill()
            message.body, self._pending = self._pending, b""
        return message

    def respond(self, status: str, headers: list[tuple[str, str]], body: bytes = b"") -> None:
        """Send one response with a length."""
        lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in headers)]
        lines.append(f"Content-Length: {len(body)}")
        self.socket.sendall("\r\n".join(lines).encode("latin-1") + HEAD_END + body)

    def close(self) -> None:
        """Close the connection in good order."""
        with contextlib.suppress(OSError):
            self.socket.close()

    def reset(self) -> None:
        """Reset the connection."""
        with contextlib.suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RD)
        self.close()


class Listener:
    """Accept connections at a free port of a loopback address, each in a thread."""

    def __init__(self, serve, host: str = "127.0.0.1", port: int = 0) -> None:
        self._serve = serve
        self._open: set[Wire] = set()
        self._lock = threading.Lock()
        self._socket = socket.create_server((host, port), backlog=256)
        self.host, self.port = self._socket.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self) -> str:
        """Return the address as IP:PORT."""
        return f"{self.host}:{self.port}"

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            wire = Wire(connection)
            with self._lock:
                self._open.add(wire)
            threading.Thread(target=self._run, args=(wire,), daemon=True).start()

    def _run(self, wire: Wire) -> None:
        try:
            self._serve(wire)
        except (Ended, OSError, ValueError):
            pass
        finally:
            with self._lock:
                self._open.discard(wire)
            wire.close()

    def reset_all(self) -> None:
        """Reset all open connections."""
        with self._lock:
            found, self._open = list(self._open), set()
        for each in found:
            each.reset()

    def stop(self) -> None:
        """Accept no more connections, and reset the open ones."""
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)
        self._socket.close()
        self.reset_all()

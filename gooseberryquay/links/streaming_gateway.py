"""Cheroot gateway that writes the chunks of a streamed answer straight to the socket."""

import socket

import cheroot.wsgi

from gooseberryquay.links.socket_timeout import set_write_timeout

__all__ = ["StreamingGateway"]

WRITE_TIMEOUT_S = 30.0


class StreamingGateway(cheroot.wsgi.Gateway_10):
    """Skip cheroot's buffered writer, which costs more than the write itself."""

    _socket: socket.socket | None = None

    def respond(self) -> None:
        """Answer one request and leave the socket's timeout as it was."""
        try:
            super().respond()
        finally:
            if self._socket is not None:
                self._socket.settimeout(self.req.server.timeout)

    def write(self, chunk: bytes) -> None:
        """Write one chunk at once."""
        if self._socket is None:
            if not self._is_streamed():
                super().write(chunk)
                return
            self._socket = self.req.conn.socket
            set_write_timeout(self._socket, WRITE_TIMEOUT_S)
        self._socket.sendall(b"%x\r\n%b\r\n" % (len(chunk), chunk))

    def _is_streamed(self) -> bool:
        if self.remaining_bytes_out is not None:
            return False
        self.req.ensure_headers_sent()
        return bool(self.req.chunked_write)

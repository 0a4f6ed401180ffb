"""Callers on real sockets that go on sending until nothing listens, and judge each answer."""

import http.client
import itertools
import random
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field

ANSWER_TIMEOUT_S = 8.0

RequestBytes = Callable[[str], bytes]


@dataclass(frozen=True)
class SentRequest:
    """Represent one request; the status is None unless a complete answer came."""

    id: str
    sent_at_s: float
    ended_at_s: float
    status: int | None
    body: bytes = b""

    @property
    def took_s(self):
        return self.ended_at_s - self.sent_at_s


@dataclass
class RawCallers:
    """Send requests from several threads, each on one kept connection or on new ones."""

    port: int
    encoders: list[RequestBytes]
    is_keeping: bool
    count: int = 12
    pause_s: float = 0.01
    sent: list[SentRequest] = field(default_factory=list)
    _stopped: threading.Event = field(default_factory=threading.Event)
    _threads: list[threading.Thread] = field(default_factory=list)

    def start(self):
        """Start to send."""
        for number in range(self.count):
            thread = threading.Thread(target=self._call, args=(number,), daemon=True)
            self._threads.append(thread)
            thread.start()

    def join(self):
        """Send no more, and wait for the last answers."""
        self._stopped.set()
        for each in self._threads:
            each.join(2 * ANSWER_TIMEOUT_S)
            assert not each.is_alive(), "a caller got neither an answer nor the end"

    def unanswered(self, longer_than_s=0.0):
        """Return the requests that ended without a complete answer after some time."""
        return [each for each in self.sent if each.status is None and each.took_s >= longer_than_s]

    def _call(self, number):
        rng = random.Random(number)
        encode = self.encoders[number % len(self.encoders)]
        connection = None
        for index in itertools.count():
            if self._stopped.is_set():
                break
            try:
                if connection is None:
                    connection = socket.create_connection(("127.0.0.1", self.port), 2.0)
                    connection.settimeout(ANSWER_TIMEOUT_S)
            except OSError:
                break
            result, is_kept = _exchange(connection, f"c{number}-{index}", encode)
            self.sent.append(result)
            if not is_kept or not self.is_keeping:
                connection.close()
                connection = None
            time.sleep(self.pause_s * rng.random())
        if connection is not None:
            connection.close()


def _exchange(connection, id, encode):
    """Send one request; return its result and whether the connection may be kept."""
    sent_at_s = time.monotonic()
    response = None
    try:
        connection.sendall(encode(id))
        sent_at_s = time.monotonic()
        response = http.client.HTTPResponse(connection)
        response.begin()
        body = response.read()
        is_kept = not response.will_close
        return SentRequest(id, sent_at_s, time.monotonic(), response.status, body), is_kept
    except (OSError, http.client.HTTPException):
        return SentRequest(id, sent_at_s, time.monotonic(), None), False
    finally:
        if response is not None:
            response.close()

"""Call counting, fault injection and rate limiting of the platform stand-in."""

from collections.abc import Callable

from gooseberryquay.links.http_server import Handler, Request, Response
from gooseberryquay.standins.platform_faults import FaultInjector, LostAnswers, drop_connection
from gooseberryquay.standins.platform_limits import (
    CallCounter,
    CallKind,
    PlatformLimits,
    RateLimit,
    retry_after_header,
)

__all__ = ["PlatformGate"]

FIRST_REFUSAL_STATUS = 429


class PlatformGate:
    """Count each call, then apply faults and rate limits before executing it."""

    def __init__(self, limits: PlatformLimits, faults: FaultInjector, counter: CallCounter) -> None:
        self._faults = faults
        self._counter = counter
        self._reads = RateLimit(limits.reads_per_s)
        self._writes = RateLimit(limits.writes_per_s)

    def wrap(self, kind: CallKind, handler: Handler) -> Handler:
        """Return a handler that counts, delays or refuses calls before the wrapped handler."""

        def handle(request: Request) -> Response:
            key = _key_of(request)
            self._counter.begin(kind, key, len(request.body))
            response = self._refuse(kind) or self._execute(kind, key, handler, request)
            body_bytes = len(response.body) if isinstance(response.body, bytes) else 0
            self._counter.end(kind, key, body_bytes, response.status >= FIRST_REFUSAL_STATUS)
            return response

        return handle

    def _refuse(self, kind: CallKind) -> Response | None:
        refusal = self._faults.apply_to_call()
        if refusal is not None:
            return refusal
        limit = self._writes if kind.is_write() else self._reads
        wait_s = limit.take()
        if wait_s > 0:
            return Response(status=429, body=b"{}", headers=retry_after_header(wait_s))
        return None

    def _execute(self, kind: CallKind, key: str, handler: Handler, request: Request) -> Response:
        if not kind.is_write():
            return handler(request)
        return self._write_or_drop(self._faults.consume_lost_answer(key), lambda: handler(request))

    def _write_or_drop(self, lost: LostAnswers | None, write: Callable[[], Response]) -> Response:
        if lost is None:
            return write()
        if lost.is_applied:
            write()
        drop_connection()
        return Response(status=503)


def _key_of(request: Request) -> str:
    return request.path_values.get("key") or request.query.get("prefix", "")

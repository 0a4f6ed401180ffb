"""Transport failures of an HTTP exchange."""

from dataclasses import dataclass

import urllib3
from urllib3.exceptions import ConnectTimeoutError, NewConnectionError

__all__ = ["ConnectionBroken", "TransportFailure", "TransportTimeout", "classify_error"]


@dataclass(frozen=True)
class ConnectionBroken:
    """Report a refused, reset or closed connection; `was_sent` is False only if provably unsent."""

    message: str
    was_sent: bool


@dataclass(frozen=True)
class TransportTimeout:
    """Report a connect or read timeout; `was_sent` is False only if provably unsent."""

    message: str
    was_sent: bool


TransportFailure = ConnectionBroken | TransportTimeout


def classify_error(error: Exception) -> TransportFailure:
    """Convert an error that urllib3 or a socket raised to a failure value."""
    # `NewConnectionError` (connection refused) is a subclass of `ConnectTimeoutError` in urllib3.
    if isinstance(error, NewConnectionError):
        return ConnectionBroken(str(error), was_sent=False)
    if isinstance(error, ConnectTimeoutError):
        return TransportTimeout(str(error), was_sent=False)
    if isinstance(error, urllib3.exceptions.TimeoutError | TimeoutError | BlockingIOError):
        return TransportTimeout(str(error), was_sent=True)
    return ConnectionBroken(str(error), was_sent=True)

"""Transport failures of an HTTP exchange."""

from dataclasses import dataclass

import urllib3
from urllib3.exceptions import ConnectTimeoutError, NewConnectionError

__all__ = ["LinkBroken", "LinkFailure", "LinkTimeout", "classify_error"]


@dataclass(frozen=True)
class LinkBroken:
    """Report a refused, reset or closed connection; `was_sent` is False only if provably unsent."""

    message: str
    was_sent: bool


@dataclass(frozen=True)
class LinkTimeout:
    """Report a connect or read timeout; `was_sent` is False only if provably unsent."""

    message: str
    was_sent: bool


LinkFailure = LinkBroken | LinkTimeout


def classify_error(error: Exception) -> LinkFailure:
    """Convert an error that urllib3 or a socket raised to a failure value."""
    # `NewConnectionError` (connection refused) is a subclass of `ConnectTimeoutError` in urllib3.
    if isinstance(error, NewConnectionError):
        return LinkBroken(str(error), was_sent=False)
    if isinstance(error, ConnectTimeoutError):
        return LinkTimeout(str(error), was_sent=False)
    if isinstance(error, urllib3.exceptions.TimeoutError | TimeoutError | BlockingIOError):
        return LinkTimeout(str(error), was_sent=True)
    return LinkBroken(str(error), was_sent=True)

"""Failures of one HTTP exchange."""

from dataclasses import dataclass

import urllib3
from urllib3.exceptions import ConnectTimeoutError, NewConnectionError

__all__ = ["ConnectionBroken", "TransportFailure", "TransportTimeout", "failure_of"]


@dataclass(frozen=True)
class ConnectionBroken:
    """Report a connection that was refused, reset or closed; `was_sent` is False with proof."""

    message: str
    was_sent: bool


@dataclass(frozen=True)
class TransportTimeout:
    """Report an answer that did not come in time; `was_sent` is False with proof."""

    message: str
    was_sent: bool


TransportFailure = ConnectionBroken | TransportTimeout


def failure_of(error: Exception) -> TransportFailure:
    """Give the type of an error that urllib3 or a socket raised."""
    # A refused connection is a kind of connect timeout to urllib3.
    if isinstance(error, NewConnectionError):
        return ConnectionBroken(str(error), was_sent=False)
    if isinstance(error, ConnectTimeoutError):
        return TransportTimeout(str(error), was_sent=False)
    if isinstance(error, urllib3.exceptions.TimeoutError | TimeoutError | BlockingIOError):
        return TransportTimeout(str(error), was_sent=True)
    return ConnectionBroken(str(error), was_sent=True)

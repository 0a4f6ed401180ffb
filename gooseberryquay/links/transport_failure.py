"""Failures of one HTTP exchange."""

from dataclasses import dataclass

import urllib3
from urllib3.exceptions import ConnectTimeoutError, NewConnectionError

__all__ = ["LinkBroken", "LinkFailure", "LinkTimeout", "failure_of"]


@dataclass(frozen=True)
class LinkBroken:
    """Report a connection that was refused, reset or closed; `was_sent` is False with proof."""

    message: str
    was_sent: bool


@dataclass(frozen=True)
class LinkTimeout:
    """Report an answer that did not come in time; `was_sent` is False with proof."""

    message: str
    was_sent: bool


LinkFailure = LinkBroken | LinkTimeout


def failure_of(error: Exception) -> LinkFailure:
    """Give the type of an error that urllib3 or a socket raised."""
    # A refused connection is a kind of connect timeout to urllib3.
    if isinstance(error, NewConnectionError):
        return LinkBroken(str(error), was_sent=False)
    if isinstance(error, ConnectTimeoutError):
        return LinkTimeout(str(error), was_sent=False)
    if isinstance(error, urllib3.exceptions.TimeoutError | TimeoutError | BlockingIOError):
        return LinkTimeout(str(error), was_sent=True)
    return LinkBroken(str(error), was_sent=True)

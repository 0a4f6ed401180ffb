"""Status codes of HTTP; nothing is known of a request whose answer has another one."""

from enum import Enum

__all__ = ["StatusKind", "kind_of_status", "parse_status"]

SWITCHING_PROTOCOLS = 101
DIGITS = 3


class StatusKind(Enum):
    """Classify the status of a response (RFC 9110, section 15)."""

    INTERIM = "interim"
    FINAL = "final"
    INVALID = "invalid"


def kind_of_status(status: int) -> StatusKind:
    """Return the kind of a status; no request asks to switch protocols."""
    if 200 <= status <= 599:
        return StatusKind.FINAL
    if 100 <= status <= 199 and status != SWITCHING_PROTOCOLS:
        return StatusKind.INTERIM
    return StatusKind.INVALID


def parse_status(text: str) -> int | None:
    """Return the status that a status line states, or None if it is none of HTTP's."""
    if len(text) != DIGITS or not (text.isascii() and text.isdigit()):
        return None
    status = int(text)
    return None if kind_of_status(status) is StatusKind.INVALID else status

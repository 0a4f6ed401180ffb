"""Addresses that are given on the command line."""

import sys
from dataclasses import dataclass

from result import Err, Ok, Result

from gooseberryquay.contracts.fields import Address, parse_address

__all__ = ["NotAnAddress", "read_address", "require_address"]

BAD_OPTION_STATUS = 1


@dataclass(frozen=True)
class NotAnAddress:
    """Report a text that is not an address."""

    text: str

    def __str__(self) -> str:
        return f"{self.text}: must be IP:PORT"


def read_address(text: object) -> Result[Address, NotAnAddress]:
    """Read an address."""
    try:
        return Ok(parse_address(str(text)))
    except ValueError:
        return Err(NotAnAddress(str(text)))


def require_address(text: object) -> Address:
    """Read an address; end the command with exit status 1 where it is none."""
    match read_address(text):
        case Ok(address):
            return address
        case Err(problem):
            print(problem, file=sys.stderr)
            sys.exit(BAD_OPTION_STATUS)

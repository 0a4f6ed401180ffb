"""Parsing of addresses given on the command line."""

import sys
from dataclasses import dataclass

from result import Err, Ok, Result

from gooseberryquay.contracts.fields import Address, parse_address

__all__ = ["InvalidAddress", "read_address", "require_address"]

USAGE_ERROR_STATUS = 1


@dataclass(frozen=True)
class InvalidAddress:
    """Report a text that is not a valid address."""

    text: str

    def __str__(self) -> str:
        return f"{self.text}: must be IP:PORT"


def read_address(text: object) -> Result[Address, InvalidAddress]:
    """Parse an address."""
    try:
        return Ok(parse_address(str(text)))
    except ValueError:
        return Err(InvalidAddress(str(text)))


def require_address(text: object) -> Address:
    """Parse an address; if it is invalid, exit with status 1."""
    match read_address(text):
        case Ok(address):
            return address
        case Err(problem):
            print(problem, file=sys.stderr)
            sys.exit(USAGE_ERROR_STATUS)

"""Configurations in force at other entries, read over their control API."""

from collections.abc import Sequence

from pydantic import ValidationError
from result import Ok

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.http_client import HttpClient, Reply
from gooseberryquay.zones.configuration import Configuration
from gooseberryquay.zones.configuration_messages import PULL_PATH, PullReply, PullRequest
from gooseberryquay.zones.local_configuration import NO_REVISION

__all__ = ["read_newest_configuration"]


def read_newest_configuration(addresses: Sequence[Address]) -> Configuration | None:
    """Return the newest configuration among entries, given by control address, or None."""
    replies = [_read(address) for address in addresses]
    configurations = [each for each in replies if each is not None]
    return max(configurations, key=lambda each: each.revision, default=None)


def _read(address: Address) -> Configuration | None:
    request = PullRequest(after_revision=NO_REVISION).model_dump_json().encode()
    match HttpClient(address.host, address.port).send("POST", PULL_PATH, request):
        case Ok(Reply(status=200, body=body)):
            try:
                return PullReply.model_validate_json(body).configuration
            except ValidationError:
                return None
    return None

"""Client for the fault controls of the platform stand-in, for tests and experiments."""

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.http_client import HttpClient
from gooseberryquay.standins.platform_faults import PlatformFaults
from gooseberryquay.standins.platform_limits import PlatformCounts

__all__ = ["PlatformControl"]


class PlatformControl:
    """Set faults and read counts of a platform stand-in in another process."""

    def __init__(self, address: Address) -> None:
        self._client = HttpClient(address.host, address.port)

    def set_faults(self, faults: PlatformFaults) -> None:
        """Replace all faults; raise `ValueError` if the stand-in rejects them."""
        body = faults.model_dump_json().encode()
        reply = self._client.send("POST", "/standin/faults", body).unwrap()
        if reply.status != 200:
            raise ValueError(reply.body.decode())

    def counts(self) -> PlatformCounts:
        """Read the counts since the start; raise if the stand-in does not respond."""
        reply = self._client.send("GET", "/standin/counts").unwrap()
        return PlatformCounts.model_validate_json(reply.body)

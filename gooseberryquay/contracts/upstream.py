"""Declaration of upstreams: the supplier's engines and plain services."""

from typing import Annotated

from pydantic import Field

from gooseberryquay.contracts.fields import AddressField, FrozenModel
from gooseberryquay.ids import ServiceId, UpstreamId, ZoneId

__all__ = ["UpstreamDeclaration"]


class UpstreamDeclaration(FrozenModel):
    """Declare one upstream; `cold_in_flight_max` bounds its work during a cold start."""

    id: UpstreamId
    service: ServiceId
    zone: ZoneId
    address: AddressField
    cold_in_flight_max: Annotated[int, Field(ge=1)] = 2
    in_flight_max: Annotated[int, Field(ge=1)] = 256
    checks_fencing: bool = True

"""Orders to upstreams, and why one may fail."""

from dataclasses import dataclass
from enum import Enum

from pydantic import BaseModel, ConfigDict

from gooseberryquay.ids import FencingNumber, UpstreamId
from gooseberryquay.machines.lease import LeaseFailure

__all__ = [
    "FencedOrder",
    "Order",
    "OrderDone",
    "OrderFailure",
    "OrderFenced",
    "OrderKind",
    "OrderNotSent",
    "OrderOutcomeUnknown",
    "OrderRefused",
]


class OrderKind(Enum):
    """Tell what an upstream is to change."""

    LOAD = "load"
    ROLE = "role"


@dataclass(frozen=True)
class Order:
    """Name the model, adapter or version to load, or the role to take."""

    kind: OrderKind
    name: str


class FencedOrder(BaseModel):
    """Send an order with the number of the lease that it is given under."""

    model_config = ConfigDict(frozen=True)

    fencing_number: FencingNumber
    order: OrderKind
    name: str


@dataclass(frozen=True)
class OrderDone:
    """Say that the upstream carried out an order."""

    upstream: UpstreamId
    fencing_number: FencingNumber


@dataclass(frozen=True)
class OrderFenced:
    """Report an order that the upstream refused because a later holder has ordered."""

    upstream: UpstreamId
    fencing_number: FencingNumber


@dataclass(frozen=True)
class OrderRefused:
    """Report an order that the upstream answered with an error status."""

    upstream: UpstreamId
    status: int


@dataclass(frozen=True)
class OrderNotSent:
    """Report an upstream that could not be reached; it got no order."""

    upstream: UpstreamId
    message: str


@dataclass(frozen=True)
class OrderOutcomeUnknown:
    """Report an order that was sent and not answered; it may be carried out."""

    upstream: UpstreamId
    message: str


OrderFailure = LeaseFailure | OrderFenced | OrderRefused | OrderNotSent | OrderOutcomeUnknown

"""Orders to upstreams and their outcomes."""

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
    """Kind of change that an order requests."""

    LOAD = "load"
    ROLE = "role"


@dataclass(frozen=True)
class Order:
    """Order to load a model, adapter or version, or to take a role; `name` is its name."""

    kind: OrderKind
    name: str


class FencedOrder(BaseModel):
    """Message that carries an order with the fencing number of its lease."""

    model_config = ConfigDict(frozen=True)

    fencing_number: FencingNumber
    order: OrderKind
    name: str


@dataclass(frozen=True)
class OrderDone:
    """Report an order that the upstream carried out."""

    upstream: UpstreamId
    fencing_number: FencingNumber


@dataclass(frozen=True)
class OrderFenced:
    """Report an order refused because of an order with a higher fencing number."""

    upstream: UpstreamId
    fencing_number: FencingNumber


@dataclass(frozen=True)
class OrderRefused:
    """Report an order that the upstream rejected with an error status."""

    upstream: UpstreamId
    status: int


@dataclass(frozen=True)
class OrderNotSent:
    """Report an upstream that could not be reached and received no order."""

    upstream: UpstreamId
    message: str


@dataclass(frozen=True)
class OrderOutcomeUnknown:
    """Report an order that was sent without a response; it may be carried out."""

    upstream: UpstreamId
    message: str


OrderFailure = LeaseFailure | OrderFenced | OrderRefused | OrderNotSent | OrderOutcomeUnknown

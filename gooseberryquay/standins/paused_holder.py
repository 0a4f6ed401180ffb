"""Stand-in for a lease holder that is paused between the lease check and the send."""

import os
import signal

from gooseberryquay.contracts.fields import Address
from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.daemons.serving import READY_PREFIX
from gooseberryquay.ids import ServiceId, UpstreamId, ZoneId
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.machines.fenced_order import AlarmDeadline, NoDeadline, OrderClient, OrderTiming
from gooseberryquay.machines.fenced_order_messages import Order, OrderKind

__all__ = ["run_paused_holder"]

HOST = "127.0.0.1"


class _PausedOrderClient(OrderClient):
    """Order client that stops its own process after the check of its lease."""

    def _before_send(self) -> None:
        print(f"{READY_PREFIX}{os.getpid()}", flush=True)
        os.kill(os.getpid(), signal.SIGSTOP)


def run_paused_holder(
    platform_port: int, upstream_port: int, lease_s: float, has_alarm: bool
) -> None:
    """Issue an order with the name `old`, pause before the send, then print the outcome."""
    upstream = UpstreamDeclaration(
        id=UpstreamId("engine"),
        service=ServiceId("service"),
        zone=ZoneId("zone"),
        address=Address(HOST, upstream_port),
    )
    client = _PausedOrderClient(
        PlatformClient(Address(HOST, platform_port)),
        "paused",
        timing=OrderTiming(lease_s=lease_s, delivery_s=lease_s / 4),
        deadline=AlarmDeadline() if has_alarm else NoDeadline(),
    )
    print(client.order(upstream, Order(OrderKind.ROLE, "old")))

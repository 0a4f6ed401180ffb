"""Command line for operators to send orders to upstreams."""

import os
import socket

from result import Err, Ok

from gooseberryquay.contracts import load_settings
from gooseberryquay.contracts.settings import PlatformSettings
from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import UpstreamId
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.machines.fenced_order import AlarmDeadline, OrderClient
from gooseberryquay.machines.fenced_order_messages import Order, OrderKind

__all__ = ["OrderCommands"]


class OrderCommands:
    """Order upstreams to load models, adapters and versions, or to change role."""

    def load(self, base: str, platform: str, upstream: str, name: str) -> None:
        """Order UPSTREAM of the base file to load NAME; exit status 1 on failure."""
        self._send(base, platform, upstream, Order(OrderKind.LOAD, name))

    def role(self, base: str, platform: str, upstream: str, name: str) -> None:
        """Order UPSTREAM of the base file to take the role NAME; exit status 1 on failure."""
        self._send(base, platform, upstream, Order(OrderKind.ROLE, name))

    def _send(self, base: str, platform: str, upstream_name: str, order: Order) -> None:
        upstream = _find_upstream(base, UpstreamId(upstream_name))
        address = PlatformSettings.model_validate({"address": platform}).address
        holder = f"{socket.gethostname()}-{os.getpid()}"
        client = OrderClient(PlatformClient(address), holder, deadline=AlarmDeadline())
        match client.order(upstream, order):
            case Ok(done):
                print(f"{done.upstream}: done under fencing number {done.fencing_number}")
            case Err(failure):
                raise SystemExit(f"{upstream_name}: {failure}")


def _find_upstream(base: str, wanted: UpstreamId) -> UpstreamDeclaration:
    match load_settings(base):
        case Err(problems):
            raise SystemExit("\n".join(str(problem) for problem in problems))
        case Ok(settings) if wanted in settings.declaration.upstreams:
            return settings.declaration.upstreams[wanted]
        case _:
            raise SystemExit(f"{base}: no upstream {wanted!r}")

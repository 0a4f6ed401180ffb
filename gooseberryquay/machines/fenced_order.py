"""Orders to upstreams under a lease, fenced against late orders of a previous holder."""

import signal
import threading
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Protocol

from result import Err, Ok, Result

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import FencingNumber
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.machines.fenced_order_connection import OrderConnection
from gooseberryquay.machines.fenced_order_messages import (
    FencedOrder,
    Order,
    OrderDone,
    OrderFailure,
    OrderFenced,
    OrderKind,
    OrderNotSent,
    OrderRefused,
)
from gooseberryquay.machines.lease import Lease, LeaseFailure, LeaseHold, LeaseLapsed, LeaseTaken

__all__ = ["AlarmDeadline", "NoDeadline", "OrderClient", "OrderTiming", "SendDeadline"]

POLL_S = 0.5
RENEW_RATIO = 0.3
HTTP_OK = 200
HTTP_CONFLICT = 409


@dataclass(frozen=True)
class OrderTiming:
    """Lease duration and timeouts for delivery, response and waiting, in seconds.

    `weight_slots` limits the concurrent loads from the weight store in the whole fleet.
    """

    lease_s: float = 10.0
    delivery_s: float = 2.0
    response_timeout_s: float = 900.0
    wait_timeout_s: float = 60.0
    weight_slots: int = 4

    def settle_s(self) -> float:
        """Return the time in seconds for which a holder that did not release may still act."""
        return self.lease_s + self.delivery_s


class SendDeadline(Protocol):
    """Terminate this process before it can send an order after a pause."""

    def arm(self, after_s: float) -> None:
        """Set the deadline `after_s` seconds from now."""

    def disarm(self) -> None:
        """Cancel the deadline."""


class NoDeadline:
    """Provide no protection against a pause between the lease check and the send."""

    def arm(self, after_s: float) -> None:
        """Do nothing."""

    def disarm(self) -> None:
        """Do nothing."""


class AlarmDeadline:
    """Terminate the process by SIGALRM, which the kernel delivers before it resumes running.

    For use only on the main thread of processes that do nothing else.
    """

    def arm(self, after_s: float) -> None:
        """Set the alarm `after_s` seconds from now."""
        signal.setitimer(signal.ITIMER_REAL, after_s)

    def disarm(self) -> None:
        """Cancel the alarm."""
        signal.setitimer(signal.ITIMER_REAL, 0)


class OrderClient:
    """Send orders to upstreams; each upstream has at most one lease holder at a time."""

    def __init__(
        self,
        platform: PlatformClient,
        holder: str,
        *,
        timing: OrderTiming | None = None,
        deadline: SendDeadline | None = None,
    ) -> None:
        self._platform = platform
        self._holder = holder
        self._timing = timing or OrderTiming()
        self._deadline = deadline or NoDeadline()

    def order(self, upstream: UpstreamDeclaration, order: Order) -> Result[OrderDone, OrderFailure]:
        """Send an order and wait until it is carried out."""
        match order.kind:
            case OrderKind.LOAD:
                return self._load(upstream, order)
            case OrderKind.ROLE:
                return self._order_exclusively(upstream, order)

    def _load(self, upstream: UpstreamDeclaration, order: Order) -> Result[OrderDone, OrderFailure]:
        match self._take_weight_slot():
            case Err(failure):
                return Err(failure)
            case Ok(slot):
                done = self._order_exclusively(upstream, order)
                if _is_final(done):
                    slot.release()
                return done

    def _order_exclusively(
        self, upstream: UpstreamDeclaration, order: Order
    ) -> Result[OrderDone, OrderFailure]:
        name = f"upstream-{upstream.id}"
        lease = Lease(self._platform, name, self._holder, self._timing.lease_s)
        match self._acquire_one_of([lease]):
            case Err(failure):
                return Err(failure)
            case Ok(_):
                pass
        with self._renewed(lease):
            done = self._order_under_lease(lease, upstream, order)
        if _is_final(done):
            lease.release()
        return done

    def _order_under_lease(
        self, lease: Lease, upstream: UpstreamDeclaration, order: Order
    ) -> Result[OrderDone, OrderFailure]:
        hold = lease.hold
        if hold is None:
            return Err(LeaseLapsed(FencingNumber(0)))
        if hold.was_lapsed and not upstream.checks_fencing:
            time.sleep(self._timing.settle_s())
        with OrderConnection(
            upstream,
            delivery_s=self._timing.delivery_s,
            response_timeout_s=self._timing.response_timeout_s,
        ) as connection:
            return (
                connection.connect()
                .and_then(lambda _: self._send(connection, lease, hold, order))
                .and_then(lambda _: connection.status())
                .and_then(lambda status: _read_status(upstream, hold, status))
            )

    def _send(
        self, connection: OrderConnection, lease: Lease, hold: LeaseHold, order: Order
    ) -> Result[None, OrderFailure]:
        spare_s = lease.remaining_s() - self._timing.delivery_s
        if spare_s <= 0:
            return Err(LeaseLapsed(hold.fencing_number))
        self._deadline.arm(spare_s)
        self._before_send()
        sent = connection.send(
            FencedOrder(fencing_number=hold.fencing_number, order=order.kind, name=order.name)
        )
        self._deadline.disarm()
        return sent.map_err(lambda failure: failure)

    def _before_send(self) -> None:
        """Run between the lease check and the send; subclasses override it to pause there."""

    def _take_weight_slot(self) -> Result[Lease, LeaseFailure]:
        duration_s = self._timing.response_timeout_s + self._timing.settle_s()
        slots = [
            Lease(self._platform, f"weights-{number}", self._holder, duration_s)
            for number in range(self._timing.weight_slots)
        ]
        return self._acquire_one_of(slots)

    def _acquire_one_of(self, leases: list[Lease]) -> Result[Lease, LeaseFailure]:
        """Try the leases in turn until one is acquired or `wait_timeout_s` has passed."""
        end_s = time.monotonic() + self._timing.wait_timeout_s
        while True:
            taken: list[LeaseTaken] = []
            for lease in leases:
                match lease.acquire():
                    case Ok(_):
                        return Ok(lease)
                    case Err(LeaseTaken() as failure):
                        taken.append(failure)
                    case Err(failure):
                        return Err(failure)
            wait_s = min(POLL_S, *(each.retry_after_s for each in taken))
            if time.monotonic() + wait_s > end_s:
                return Err(min(taken, key=lambda each: each.retry_after_s))
            time.sleep(wait_s)

    @contextmanager
    def _renewed(self, lease: Lease) -> Iterator[None]:
        """Renew a lease in the background while the context is open."""
        ended = threading.Event()

        def renew() -> None:
            while not ended.wait(self._timing.lease_s * RENEW_RATIO):
                lease.renew()

        thread = threading.Thread(target=renew, name="lease renewal", daemon=True)
        thread.start()
        try:
            yield
        finally:
            ended.set()
            thread.join()


def _read_status(
    upstream: UpstreamDeclaration, hold: LeaseHold, status: int
) -> Result[OrderDone, OrderFailure]:
    match status:
        case _ if status == HTTP_OK:
            return Ok(OrderDone(upstream.id, hold.fencing_number))
        case _ if status == HTTP_CONFLICT:
            return Err(OrderFenced(upstream.id, hold.fencing_number))
        case _:
            return Err(OrderRefused(upstream.id, status))


def _is_final(done: Result[OrderDone, OrderFailure]) -> bool:
    """Return whether an order can no longer take effect."""
    match done:
        case Ok(_) | Err(OrderFenced() | OrderRefused() | OrderNotSent()):
            return True
        case _:
            return False

"""Orders to upstreams under a lease, so that a former holder's order cannot come after."""

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
from gooseberryquay.machines.fenced_order_link import OrderLink
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
    """Set the lease's duration and the bounds of sending, answering and waiting.

    `weight_slots` bounds the loads from the weight store that run at once in the whole fleet.
    """

    lease_s: float = 10.0
    delivery_s: float = 2.0
    answer_timeout_s: float = 900.0
    wait_timeout_s: float = 60.0
    weight_slots: int = 4

    def settle_s(self) -> float:
        """Give the time for which a former holder that did not release may still act."""
        return self.lease_s + self.delivery_s


class SendDeadline(Protocol):
    """End this process before it can send after a pause."""

    def arm(self, after_s: float) -> None:
        """Let the deadline come after a time."""

    def disarm(self) -> None:
        """Cancel the deadline."""


class NoDeadline:
    """Leave a pause between the lease's check and the send unguarded."""

    def arm(self, after_s: float) -> None:
        """Do nothing."""

    def disarm(self) -> None:
        """Do nothing."""


class AlarmDeadline:
    """End the process by SIGALRM, which the kernel delivers before a woken process runs on.

    Only for processes that do nothing else, on their main thread.
    """

    def arm(self, after_s: float) -> None:
        """Let the alarm come after a time."""
        signal.setitimer(signal.ITIMER_REAL, after_s)

    def disarm(self) -> None:
        """Cancel the alarm."""
        signal.setitimer(signal.ITIMER_REAL, 0)


class OrderClient:
    """Send orders to upstreams, one holder at a time for each upstream."""

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
        """Give an order and wait until it is carried out."""
        match order.kind:
            case OrderKind.LOAD:
                return self._load(upstream, order)
            case OrderKind.ROLE:
                return self._order_alone(upstream, order)

    def _load(self, upstream: UpstreamDeclaration, order: Order) -> Result[OrderDone, OrderFailure]:
        match self._take_weight_slot():
            case Err(failure):
                return Err(failure)
            case Ok(slot):
                done = self._order_alone(upstream, order)
                if _has_ended(done):
                    slot.release()
                return done

    def _order_alone(
        self, upstream: UpstreamDeclaration, order: Order
    ) -> Result[OrderDone, OrderFailure]:
        name = f"upstream-{upstream.id}"
        lease = Lease(self._platform, name, self._holder, self._timing.lease_s)
        match self._acquire_one_of([lease]):
            case Err(failure):
                return Err(failure)
            case Ok(_):
                pass
        with self._kept(lease):
            done = self._order_under(lease, upstream, order)
        if _has_ended(done):
            lease.release()
        return done

    def _order_under(
        self, lease: Lease, upstream: UpstreamDeclaration, order: Order
    ) -> Result[OrderDone, OrderFailure]:
        hold = lease.hold
        if hold is None:
            return Err(LeaseLapsed(FencingNumber(0)))
        if hold.was_lapsed and not upstream.checks_fencing:
            time.sleep(self._timing.settle_s())
        with OrderLink(
            upstream,
            delivery_s=self._timing.delivery_s,
            answer_timeout_s=self._timing.answer_timeout_s,
        ) as link:
            return (
                link.connect()
                .and_then(lambda _: self._send(link, lease, hold, order))
                .and_then(lambda _: link.status())
                .and_then(lambda status: _read_status(upstream, hold, status))
            )

    def _send(
        self, link: OrderLink, lease: Lease, hold: LeaseHold, order: Order
    ) -> Result[None, OrderFailure]:
        spare_s = lease.remaining_s() - self._timing.delivery_s
        if spare_s <= 0:
            return Err(LeaseLapsed(hold.fencing_number))
        self._deadline.arm(spare_s)
        self._before_send()
        sent = link.send(
            FencedOrder(fencing_number=hold.fencing_number, order=order.kind, name=order.name)
        )
        self._deadline.disarm()
        return sent.map_err(lambda failure: failure)

    def _before_send(self) -> None:
        """Run between the lease's check and the send."""

    def _take_weight_slot(self) -> Result[Lease, LeaseFailure]:
        duration_s = self._timing.answer_timeout_s + self._timing.settle_s()
        slots = [
            Lease(self._platform, f"weights-{number}", self._holder, duration_s)
            for number in range(self._timing.weight_slots)
        ]
        return self._acquire_one_of(slots)

    def _acquire_one_of(self, leases: list[Lease]) -> Result[Lease, LeaseFailure]:
        """Try the leases in turn until one is free or the time to wait is over."""
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
    def _kept(self, lease: Lease) -> Iterator[None]:
        """Renew a lease in the background."""
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


def _has_ended(done: Result[OrderDone, OrderFailure]) -> bool:
    """Tell whether nothing of an order can still happen."""
    match done:
        case Ok(_) | Err(OrderFenced() | OrderRefused() | OrderNotSent()):
            return True
        case _:
            return False

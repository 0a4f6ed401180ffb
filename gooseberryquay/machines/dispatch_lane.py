"""What the dispatcher keeps for one service."""

from gooseberryquay.ids import ServiceId
from gooseberryquay.machines.dispatch_rate import FadingRate
from gooseberryquay.machines.queue_order import WorkQueue

__all__ = ["ServiceLane"]


class ServiceLane:
    """Hold one service's queue and the rate at which it empties."""

    def __init__(self, service: ServiceId) -> None:
        self.service = service
        self.queue = WorkQueue()
        self.placing_rate = FadingRate()

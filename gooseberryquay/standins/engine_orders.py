"""Execution of orders by the engine stand-in, optionally checked by fencing number."""

import threading
import time

from gooseberryquay.standins.engine_messages import EngineCounts, EngineOrder, ExecutedOrder
from gooseberryquay.standins.engine_settings import EngineSettings

__all__ = ["OrderExecutor"]


class OrderExecutor:
    """Execute orders serially and record them."""

    def __init__(self, settings: EngineSettings, counts: EngineCounts) -> None:
        self._settings = settings
        self._counts = counts
        self._highest_number = 0
        self._lock = threading.Lock()

    def execute(self, order: EngineOrder) -> bool:
        """Execute an order, which blocks for `order_s` seconds; return False if it is fenced."""
        with self._lock:
            if self._settings.checks_fencing and order.fencing_number < self._highest_number:
                self._counts.fenced_orders += 1
                return False
            self._highest_number = max(self._highest_number, order.fencing_number)
            self._counts.orders.append(
                ExecutedOrder(**order.model_dump(), started_at_s=time.monotonic())
            )
            time.sleep(self._settings.order_s)
            return True

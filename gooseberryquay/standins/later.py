"""Actions that happen after a delay."""

import threading
import time
from collections.abc import Callable

__all__ = ["call_later"]


def call_later(delay_s: float, action: Callable[[], None]) -> None:
    """Call an action from a thread of its own after a delay."""

    def wait_and_act() -> None:
        time.sleep(delay_s)
        action()

    threading.Thread(target=wait_and_act, daemon=True).start()

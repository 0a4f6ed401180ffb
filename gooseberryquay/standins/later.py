"""Delayed actions."""

import threading
import time
from collections.abc import Callable

__all__ = ["call_later"]


def call_later(delay_s: float, action: Callable[[], None]) -> None:
    """Call an action after `delay_s` seconds, in a separate daemon thread."""

    def run() -> None:
        time.sleep(delay_s)
        action()

    threading.Thread(target=run, daemon=True).start()

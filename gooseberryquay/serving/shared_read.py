"""Read of the store that all requests wait for together, and none for longer than it may."""

import threading
import time
from collections.abc import Callable

from gooseberryquay.links.caller_watch import CallerWatch

__all__ = ["SharedRead"]

# A slow store, or a busy machine, answers in this time.
ANSWER_TIME_S = 1.5
# While a read has failed within this time, the store is considered silent.
SILENCE_S = 1.0
# How soon a caller that disconnects is noticed.
POLL_INTERVAL_S = 0.1


class SharedRead:
    """Run one read at a time in a thread of its own; thread-safe.

    A read that has succeeded less than `valid_s` ago is not repeated.
    """

    def __init__(self, read: Callable[[], bool], valid_s: float) -> None:
        self._read = read
        self._valid_s = valid_s
        self._began_at_s: float | None = None
        self._succeeded_at_s = float("-inf")
        self._failed_at_s = float("-inf")
        self._ended_count = 0
        self._last_result = False
        self._ended = threading.Condition()

    def wait(self, caller: CallerWatch, until_s: float) -> bool:
        """Read, or wait for the read in progress; return False if there is no result in time.

        Returns False at once while the last read shows that the store is silent; another one is
        then in progress.
        """
        began_at_s = time.monotonic()
        with self._ended:
            if began_at_s - self._succeeded_at_s < self._valid_s:
                return True
            if self._began_at_s is None:
                self._began_at_s = began_at_s
                threading.Thread(target=self._run, name="shared read", daemon=True).start()
            if began_at_s - self._failed_at_s < SILENCE_S:
                return False
            give_up_at_s = min(until_s, self._began_at_s + ANSWER_TIME_S)
            count = self._ended_count
            while self._ended_count == count:
                left_s = give_up_at_s - time.monotonic()
                if left_s <= 0.0 or caller.is_disconnected():
                    return False
                self._ended.wait(min(left_s, POLL_INTERVAL_S))
            return self._last_result

    def _run(self) -> None:
        began_at_s = time.monotonic()
        result = False
        try:
            result = self._read()
        finally:
            with self._ended:
                self._began_at_s = None
                self._last_result = result
                self._ended_count += 1
                if result:
                    self._succeeded_at_s = began_at_s
                    self._failed_at_s = float("-inf")
                else:
                    self._failed_at_s = time.monotonic()
                self._ended.notify_all()

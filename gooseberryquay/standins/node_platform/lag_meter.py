"""Time for which the threads of a soak itself had to wait for the processor."""

import threading
import time

__all__ = ["LagMeter"]

PERIOD_S = 0.01
# Shorter lags are the usual scheduling of threads.
LAG_MIN_S = 0.02


class LagMeter:
    """Measure how late a periodic thread of this process runs."""

    def __init__(self) -> None:
        # When each lag ended, and how long it lasted.
        self.lags: list[tuple[float, float]] = []
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopped.set()
        self._thread.join()

    def longest_s(self, from_s: float, until_s: float) -> float:
        """Return the longest lag that overlaps a time."""
        return max(
            (
                lasted_s
                for ended_at_s, lasted_s in list(self.lags)
                if from_s <= ended_at_s and ended_at_s - lasted_s <= until_s
            ),
            default=0.0,
        )

    def _run(self) -> None:
        due_s = time.monotonic() + PERIOD_S
        while not self._stopped.wait(max(0.0, due_s - time.monotonic())):
            now_s = time.monotonic()
            if now_s - due_s >= LAG_MIN_S:
                self.lags.append((now_s, now_s - due_s))
            due_s = now_s + PERIOD_S

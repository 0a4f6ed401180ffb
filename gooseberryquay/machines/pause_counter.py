"""Detection of pauses of this process by a background thread."""

import threading
import time

__all__ = ["PauseCounter"]

TICK_S = 0.2
PAUSE_S = 3.0


class PauseCounter:
    """Count pauses: a tick that comes more than `PAUSE_S` after the last one shows a pause."""

    def __init__(self) -> None:
        self._ticked_at_s = time.monotonic()
        self._pauses = 0
        self._stopped = threading.Event()
        self._lock = threading.Lock()

    def start(self) -> None:
        """Start ticking in the background."""
        threading.Thread(target=self._run, name="pause-watch", daemon=True).start()

    def stop(self) -> None:
        """Stop ticking."""
        self._stopped.set()

    def pauses(self) -> int:
        """Return the number of pauses detected so far, including one that has just ended."""
        self._tick()
        return self._pauses

    def _run(self) -> None:
        while not self._stopped.wait(TICK_S):
            self._tick()

    def _tick(self) -> None:
        with self._lock:
            now_s = time.monotonic()
            if now_s - self._ticked_at_s > PAUSE_S:
                self._pauses += 1
            self._ticked_at_s = now_s

"""Cheroot worker thread pool that grows with the number of open requests."""

import contextlib
import queue
import threading
from typing import Any

from cheroot.workers.threadpool import (  # type: ignore[attr-defined]
    _SHUTDOWNREQUEST,
    ThreadPool,
    WorkerThread,
)

from gooseberryquay.links.caller_budget import CallerBudget
from gooseberryquay.machines.caller_ledger import CallerLimit

__all__ = ["GrowingThreadPool"]

FORCED_CLOSE_S = 0.5
# Threads beyond the least number end after this time, which returns the memory of their stacks.
IDLE_THREAD_S = 10.0


class GrowingThreadPool(ThreadPool):
    """Start another thread whenever a connection would otherwise have to wait."""

    server: Any
    _queue: Any
    _threads: list[Any]

    def __init__(self, server: Any, min_threads: int, max_threads: int) -> None:
        super().__init__(server, min=min_threads, max=max_threads)
        self._queue = queue.SimpleQueue()
        self._count_lock = threading.Lock()
        self._idle_thread_count = 0
        self.get = self._get

    def _get(self) -> Any:
        with self._count_lock:
            self._idle_thread_count += 1
        while True:
            try:
                taken = self._queue.get(timeout=IDLE_THREAD_S)
            except queue.Empty:
                with self._count_lock:
                    if self._queue.empty() and self._remove_surplus_thread():
                        self._idle_thread_count -= 1
                        return _SHUTDOWNREQUEST
                continue
            with self._count_lock:
                self._idle_thread_count -= 1
            return taken

    def _remove_surplus_thread(self) -> bool:
        """Forget the calling thread, which then ends, unless few are left."""
        thread = threading.current_thread()
        if len(self._threads) <= self.min or thread not in self._threads:
            return False
        with contextlib.suppress(ValueError):
            self._threads.remove(thread)
        with contextlib.suppress(AttributeError, KeyError):
            # The server keeps an entry for each thread that it ever had.
            del self.server.stats["Worker Threads"][thread.name]
        budget = self._budget
        if budget is not None:
            budget.remove_thread()
        return True

    @property
    def _budget(self) -> CallerBudget | None:
        """Return the budget that the threads of this server are counted in, if any."""
        budget: CallerBudget | None = getattr(self.server, "caller_budget", None)
        return budget if getattr(self.server, "limits_connections", False) else None

    def put(self, obj: Any) -> None:
        """Queue a connection and start a thread for it if none is idle."""
        super().put(obj)
        with self._count_lock:
            needs_thread = self._queue.qsize() > self._idle_thread_count
        if needs_thread:
            self._add_thread()

    def _add_thread(self) -> None:
        """Start a thread; without one the connection waits for a thread that becomes idle."""
        budget = self._budget
        if len(self._threads) >= self.max or (budget is not None and not budget.try_add_thread()):
            if budget is not None:
                budget.press(CallerLimit.THREADS)
            return
        try:
            self._threads.append(self._spawn_worker())
        except (RuntimeError, MemoryError) as error:
            if budget is not None:
                budget.remove_thread()
            self.server.error_log(f"cannot start a thread: {error}")

    def stop(self, timeout: float = 5.0) -> None:
        """Wait for the threads; one that is busy for longer ends with the process."""
        waiting = threading.Thread(target=super().stop, args=(timeout,), daemon=True)
        waiting.start()
        waiting.join(timeout + FORCED_CLOSE_S)

    def _spawn_worker(self) -> Any:
        worker: Any = WorkerThread(self.server)  # type: ignore[no-untyped-call]
        # The process does not wait for daemon threads.
        worker.daemon = True
        worker.start()
        return worker

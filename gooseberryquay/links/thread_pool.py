"""Cheroot worker thread pool that grows with the number of open requests."""

import queue
import threading
from collections.abc import Callable
from typing import Any

from cheroot.workers.threadpool import ThreadPool

__all__ = ["GrowingThreadPool"]


class GrowingThreadPool(ThreadPool):
    """Start another thread whenever a connection would otherwise have to wait."""

    server: Any
    _queue: Any
    _threads: list[Any]
    _spawn_worker: Callable[[], Any]

    def __init__(self, server: Any, min_threads: int, max_threads: int) -> None:
        super().__init__(server, min=min_threads, max=max_threads)
        self._queue = queue.SimpleQueue()
        self._count_lock = threading.Lock()
        self._idle_thread_count = 0
        self.get = self._get

    def _get(self) -> Any:
        with self._count_lock:
            self._idle_thread_count += 1
        try:
            return self._queue.get()
        finally:
            with self._count_lock:
                self._idle_thread_count -= 1

    def put(self, obj: Any) -> None:
        """Queue a connection and start a thread for it if none is idle."""
        super().put(obj)
        with self._count_lock:
            needs_thread = self._queue.qsize() > self._idle_thread_count
        if needs_thread and len(self._threads) < self.max:
            self._add_thread()

    def _add_thread(self) -> None:
        """Start a thread; without one the connection waits for a thread that becomes idle."""
        try:
            self._threads.append(self._spawn_worker())
        except (RuntimeError, MemoryError) as error:
            self.server.error_log(f"cannot start a thread: {error}")

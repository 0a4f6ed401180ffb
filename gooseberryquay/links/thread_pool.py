"""Worker threads for cheroot that grow with the number of open requests."""

import queue
import threading
from collections.abc import Callable
from typing import Any

from cheroot.workers.threadpool import ThreadPool

__all__ = ["GrowingThreadPool"]


class GrowingThreadPool(ThreadPool):
    """Start one more thread whenever a connection would otherwise wait for one."""

    _queue: Any
    _threads: list[Any]
    _spawn_worker: Callable[[], Any]

    def __init__(self, server: Any, min_threads: int, max_threads: int) -> None:
        super().__init__(server, min=min_threads, max=max_threads)
        self._queue = queue.SimpleQueue()
        self._count_lock = threading.Lock()
        self._waiting = 0
        self.get = self._get

    def _get(self) -> Any:
        with self._count_lock:
            self._waiting += 1
        try:
            return self._queue.get()
        finally:
            with self._count_lock:
                self._waiting -= 1

    def put(self, obj: Any) -> None:
        """Queue a connection and make sure that a thread is free for it."""
        super().put(obj)
        with self._count_lock:
            is_short = self._queue.qsize() > self._waiting
        if is_short and len(self._threads) < self.max:
            self._threads.append(self._spawn_worker())

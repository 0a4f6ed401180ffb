"""Cache of the claim logs that one entry has copies of, bounded in memory."""

import threading
from collections import OrderedDict

from gooseberryquay.contracts.posting_settings import PostingSettings
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.postings.claim_log import ClaimLog
from gooseberryquay.postings.claim_log_copy import ClaimLogCopy
from gooseberryquay.postings.posting import KeyLocation, LogName

__all__ = ["ClaimLogs"]


class ClaimLogs:
    """Open logs on demand and evict idle ones, the least recently used first."""

    def __init__(self, platform: PlatformClient, settings: PostingSettings) -> None:
        self._platform = platform
        self._settings = settings
        self._lock = threading.Lock()
        self._logs: OrderedDict[LogName, ClaimLog] = OrderedDict()

    def open(self, at: KeyLocation) -> ClaimLog:
        """Return the log of a key, opening it if necessary."""
        with self._lock:
            log = self._logs.pop(at.log, None)
            if log is None:
                log = self._new_log(at)
                self._evict_idle()
            self._logs[at.log] = log
            return log

    def find(self, name: LogName) -> ClaimLog | None:
        """Return the log with a name, or None if it is not cached."""
        with self._lock:
            return self._logs.get(name)

    def has_unfinished(self) -> bool:
        """Return whether any append is in progress."""
        with self._lock:
            return any(log.has_pending() for log in self._logs.values())

    def _new_log(self, at: KeyLocation) -> ClaimLog:
        copy = ClaimLogCopy(self._platform, at.log, self._settings.head_bytes_max)
        keys_max = self._settings.untimed_keys_max // self._settings.shard_count
        return ClaimLog(copy, self._settings.write_interval_s, None if at.is_timed() else keys_max)

    def _evict_idle(self) -> None:
        memory_bytes = sum(log.memory_bytes for log in self._logs.values())
        for name, log in list(self._logs.items()):
            if memory_bytes <= self._settings.index_bytes_max:
                return
            if log.is_idle():
                memory_bytes -= log.memory_bytes
                del self._logs[name]

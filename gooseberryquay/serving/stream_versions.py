"""Software version that began each stream, for callers that take a stream up again."""

import random
import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from result import Err, Ok

from gooseberryquay.ids import EntryId, RequestId, ServiceId, SoftwareVersion
from gooseberryquay.links.caller_watch import CallerWatch, NullCallerWatch
from gooseberryquay.links.platform_client import NO_VERSION
from gooseberryquay.machines.suspect_store import SuspectObjects
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.missing_record import (
    CHANGE_SETTLED_S,
    MissingRecord,
    OriginBasis,
    StreamOriginFound,
    decide_without_record,
)
from gooseberryquay.serving.shared_read import SharedRead
from gooseberryquay.serving.upstream_registry import UpstreamRegistry
from gooseberryquay.serving.version_history import (
    StoredStreams,
    StreamOrigin,
    VersionHistory,
    newest_history,
)

__all__ = ["StreamVersions", "StreamVersionsOptions", "VersionUnknown"]

PREFIX = "streams/"
# Streams of two versions may be taken up for about as long as a caller waits for an answer.
STREAM_LIFETIME_S = 90.0
STREAMS_MAX = 4096
# The first event of a stream waits for the write of its record.
WRITE_INTERVAL_S = 0.05
# An entry with many streams writes less often.
WRITE_BYTES_PER_S = 500_000.0
# How long the first event of a stream waits for its record if the store does not answer.
RECORD_TIME_S = 1.0
# Entries that learn of a version together spread their first writes over this time.
FIRST_WRITE_SPREAD_S = 0.2
RETRY_MIN_S = 0.1
RETRY_MAX_S = 2.0
# After so many failed calls in a row, the store is considered away.
FAILURES_MAX = 2
POLL_INTERVAL_S = 0.1
# An entry may become one of those that record the only version of a service.
HISTORY_CHECK_S = 1.0
# Records of streams that began just before their entry ended may be about to be written.
READ_AGAIN_S = 0.25
READ_INTERVAL_S = 0.2


@dataclass(frozen=True, slots=True)
class VersionUnknown:
    """Report that a stream may have begun at any of several versions."""


@dataclass(frozen=True, slots=True)
class StreamVersionsOptions:
    """Configure which entry this is, whether it writes while one version serves, and its list.

    `is_list_behind` returns whether other entries know, or may know, a newer list of upstreams.
    `on_begun` is called with whether the record of a stream is stored as its first event is passed
    on while several versions serve, `on_taken_up` with what a take-up rests on.
    """

    entry: EntryId
    writes_history: Callable[[], bool] = lambda: True
    is_list_behind: Callable[[], bool] = lambda: False
    lifetime_s: float = STREAM_LIFETIME_S
    on_begun: Callable[[bool], None] = lambda _is_stored: None
    on_taken_up: Callable[[str], None] = lambda _basis: None


class StreamVersions:
    """Record and look up the software versions of streams; thread-safe.

    While one version of a service serves, nothing is written but that version. Once another
    appears, each entry writes its streams to an object of its own, in batches, and passes no event
    of a stream on before its record is stored. A stream without a record has then begun at an entry
    that knew only the previous version.
    """

    def __init__(
        self,
        options: StreamVersionsOptions,
        registry: UpstreamRegistry,
        platform: SuspectObjects,
        log: DecisionLog,
        clock: Callable[[], float] = time.time,
    ) -> None:
        self._options = options
        self._registry = registry
        self._platform = platform
        self._log = log
        self._clock = clock
        self._started_at_s = clock()
        self._own: OrderedDict[RequestId, StreamOrigin] = OrderedDict()
        self._read: dict[RequestId, StreamOrigin] = {}
        # What other entries have written, for as long as it is not read again.
        self._documents: list[StoredStreams] = []
        # Records are numbered; those up to the second number are stored.
        self._record_count = 0
        self._stored_count = 0
        self._failure_count = 0
        self._has_waiters = threading.Event()
        # When streams of an earlier process that did not write ahead no longer matter; None until
        # its object was read.
        self._ahead_from_s: float | None = None
        self._history = VersionHistory()
        self._was_read = False
        self._shared_read = SharedRead(self._load, READ_INTERVAL_S)
        self._is_dirty = True
        # Revision of the own object; None if it has to be read before it is written.
        self._revision: int | None = None
        self._changed = threading.Event()
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._stored = threading.Condition(self._lock)
        self._thread = threading.Thread(target=self._run, name="stream versions", daemon=True)

    def start(self) -> None:
        """Read what other entries have recorded, then write own streams in the background."""
        self._registry.on_change(self._observe_list)
        self._observe_list()
        self._thread.start()

    def stop(self) -> None:
        """Write own streams a last time and stop the background thread."""
        self._stopping.set()
        self._changed.set()
        self._thread.join()

    def record(
        self,
        stream: RequestId,
        service: ServiceId,
        version: SoftwareVersion | None,
        caller: CallerWatch | None = None,
    ) -> None:
        """Record the version that began a stream, before its first event is passed on.

        Once several versions serve, waits until the record is stored, at most for RECORD_TIME_S.
        """
        with self._lock:
            self._own.pop(stream, None)
            self._own[stream] = StreamOrigin(
                service=service, version=version or "", at_s=self._clock()
            )
            if len(self._own) > STREAMS_MAX:
                self._own.popitem(last=False)
            self._is_dirty = True
            self._record_count += 1
            number = self._record_count
            self._observe_list_locked()
            needs_record = self._history.is_mixed(service, self._oldest_s())
        if needs_record:
            self._has_waiters.set()
            self._changed.set()
            is_stored = self._wait_until_stored(number, caller or NullCallerWatch())
            self._report_begun(stream, service, version, is_stored)

    def _wait_until_stored(self, number: int, caller: CallerWatch) -> bool:
        until_s = time.monotonic() + RECORD_TIME_S
        with self._stored:
            # While the store is away, a further wait would delay each stream and store none.
            while self._stored_count < number and self._failure_count < FAILURES_MAX:
                left_s = until_s - time.monotonic()
                if left_s <= 0.0 or self._stopping.is_set() or caller.is_disconnected():
                    break
                self._stored.wait(min(left_s, POLL_INTERVAL_S))
            return self._stored_count >= number

    def _report_begun(
        self,
        stream: RequestId,
        service: ServiceId,
        version: SoftwareVersion | None,
        is_stored: bool,
    ) -> None:
        self._options.on_begun(is_stored)
        self._log.belief(
            "stream begins",
            stream=stream,
            service=service,
            version=version,
            is_stored=is_stored,
            failures=self._failure_count,
        )

    def version_of(
        self,
        stream: RequestId | None,
        service: ServiceId,
        caller: CallerWatch | None = None,
        until_s: float = float("inf"),
    ) -> SoftwareVersion | VersionUnknown | None:
        """Return the version that began a stream; None stands for engines that state none.

        Ends early if the caller disconnects, or at `until_s` on the monotonic clock.
        """
        found = self._look_up(stream, service, caller or NullCallerWatch(), until_s)
        self._options.on_taken_up(found.basis.value)
        self._log.belief(
            "stream is taken up",
            stream=stream,
            service=service,
            version=found.version,
            basis=found.basis.value,
        )
        if found.version is None:
            return VersionUnknown()
        return SoftwareVersion(found.version) if found.version else None

    def _look_up(
        self, stream: RequestId | None, service: ServiceId, caller: CallerWatch, until_s: float
    ) -> StreamOriginFound:
        """Return what is known here, or else what other entries have recorded in the store.

        The list of upstreams alone may be behind, and then shows one version where others serve.
        """
        known = self._recorded(stream)
        if known is not None:
            return known
        if not self._shared_read.wait(caller, until_s):
            return self._without_store(service)
        for delay_s in (0.0, READ_AGAIN_S):
            if delay_s:
                time.sleep(min(delay_s, max(0.0, until_s - time.monotonic())))
                self._shared_read.wait(caller, until_s)
            found = self._recorded(stream)
            if found is not None:
                return found
            only = self._only_version(service)
            if only is not None:
                return StreamOriginFound(only, OriginBasis.ONLY_VERSION)
        return self._decide_without_record(service)

    def _recorded(self, stream: RequestId | None) -> StreamOriginFound | None:
        if stream is None:
            return None
        with self._lock:
            own, read = self._own.get(stream), self._read.get(stream)
        if own is not None:
            return StreamOriginFound(own.version, OriginBasis.OWN_RECORD)
        if read is not None:
            return StreamOriginFound(read.version, OriginBasis.STORED_RECORD)
        return None

    def _only_version(self, service: ServiceId) -> str | None:
        with self._lock:
            self._observe_list_locked()
            return self._history.only_version(service, self._oldest_s())

    def _without_store(self, service: ServiceId) -> StreamOriginFound:
        """Trust the list while the store is away, unless other entries know a newer one."""
        only = self._only_version(service) if self._was_read else None
        if only is None or self._options.is_list_behind():
            return StreamOriginFound(None, OriginBasis.STORE_NOT_READ)
        return StreamOriginFound(only, OriginBasis.ONLY_VERSION_LISTED)

    def _decide_without_record(self, service: ServiceId) -> StreamOriginFound:
        with self._lock:
            change = self._history.latest_change(service, self._oldest_s())
            documents = self._documents
        return decide_without_record(
            MissingRecord(
                now_s=self._clock(),
                started_at_s=self._started_at_s,
                change=change,
                is_store_read=self._was_read,
                has_late_writers=change is not None
                and any(
                    each.has_seen(service, change.version) and not each.is_written_ahead
                    for each in documents
                ),
            )
        )

    def _oldest_s(self) -> float:
        return self._clock() - self._options.lifetime_s

    def _observe_list(self) -> None:
        with self._lock:
            has_changed = self._observe_list_locked()
        if has_changed:
            self._changed.set()

    def _observe_list_locked(self) -> bool:
        has_changed = self._history.observe(self._registry.versions(), self._clock())
        self._is_dirty = self._is_dirty or has_changed
        return has_changed

    def _run(self) -> None:
        while not self._was_read and not self._stopping.is_set():
            if not self._load():
                self._stopping.wait(self._record_failure())
        while not self._stopping.is_set():
            self._changed.wait(HISTORY_CHECK_S)
            self._changed.clear()
            self._has_waiters.wait(FIRST_WRITE_SPREAD_S * random.random())
            while self._needs_write() and not self._stopping.is_set():
                self._has_waiters.clear()
                self._stopping.wait(self._write())
        if self._needs_write():
            self._write()

    def _needs_write(self) -> bool:
        with self._lock:
            if not self._is_dirty:
                return False
            if self._history.is_any_mixed(self._oldest_s()):
                return True
            return self._history.has_versions() and self._options.writes_history()

    def _load(self) -> bool:
        """Read what all entries have recorded."""
        match self._platform.list(PREFIX):
            case Err(failure):
                self._log.belief("stream versions not read", failure=repr(failure))
                return False
            case Ok(objects):
                self._merge([StoredStreams.parse(each.value) for each in objects])
                return True

    def _merge(self, stored: Iterable[StoredStreams]) -> None:
        documents = list(stored)
        oldest_s = self._oldest_s()
        with self._lock:
            self._read = {
                RequestId(name): origin
                for each in documents
                for name, origin in each.streams.items()
                if origin.at_s >= oldest_s
            }
            self._history.merge(newest_history(documents, self._clock()))
            self._documents = documents
            self._was_read = True

    def _write(self) -> float:
        """Write the own object; return the delay in seconds before the next call.

        Streams of an earlier process of this entry are kept.
        """
        if self._revision is None and not self._read_own():
            return self._record_failure()
        oldest_s, now_s = self._oldest_s(), self._clock()
        with self._lock:
            self._is_dirty = False
            count = self._record_count
            streams = {
                str(name): origin for name, origin in self._own.items() if origin.at_s >= oldest_s
            }
            history = self._history.kept(oldest_s)
        text = StoredStreams(
            written_at_s=now_s,
            is_written_ahead=now_s >= (self._ahead_from_s or 0.0),
            streams=streams,
            history=history,
        ).model_dump_json()
        match self._platform.write(self._key(), text, self._revision):
            case Ok(revision):
                self._revision = revision if revision != NO_VERSION else None
            case Err(_):
                self._revision = None
                with self._lock:
                    self._is_dirty = True
                return self._record_failure()
        with self._stored:
            self._failure_count = 0
            self._stored_count = count
            self._stored.notify_all()
        return max(WRITE_INTERVAL_S, len(text) / WRITE_BYTES_PER_S)

    def _record_failure(self) -> float:
        """Record that a call of the store failed; return the delay in seconds before the next."""
        with self._stored:
            self._failure_count += 1
            self._stored.notify_all()
            doublings = min(self._failure_count - 1, 8)
        return min(RETRY_MAX_S, RETRY_MIN_S * 2.0**doublings) * random.uniform(0.5, 1.5)

    def _read_own(self) -> bool:
        match self._platform.read(self._key()):
            case Err(_):
                return False
            case Ok(stored):
                pass
        self._revision = NO_VERSION if stored is None else stored.version
        earlier = StoredStreams.parse(stored.value if stored is not None else "{}")
        if self._ahead_from_s is None:
            is_behind = bool(earlier.history) and not earlier.is_written_ahead
            self._ahead_from_s = self._clock() + CHANGE_SETTLED_S if is_behind else 0.0
        with self._lock:
            for name, origin in earlier.streams.items():
                self._own.setdefault(RequestId(name), origin)
        return True

    def store_lost_writes(self) -> None:
        """Write the own object again after the store has come back from an older copy."""
        with self._lock:
            self._is_dirty = True
        self._changed.set()

    def _key(self) -> str:
        return f"{PREFIX}{self._options.entry}"

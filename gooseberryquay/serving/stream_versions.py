"""Software version that began each stream, for callers that take a stream up again."""

import random
import threading
import time
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok

from gooseberryquay.ids import EntryId, RequestId, ServiceId, SoftwareVersion
from gooseberryquay.links.caller_watch import CallerWatch, NullCallerWatch
from gooseberryquay.links.platform_client import NO_VERSION
from gooseberryquay.machines.suspect_store import SuspectObjects
from gooseberryquay.serving.decision_log import DecisionLog
from gooseberryquay.serving.missing_record import (
    MissingRecord,
    OriginBasis,
    StreamOriginFound,
    decide_without_record,
)
from gooseberryquay.serving.shared_read import SharedRead
from gooseberryquay.serving.stream_relay import PinnedVersion
from gooseberryquay.serving.stream_witnesses import NO_WITNESSES, PeerAnswers, Witnesses
from gooseberryquay.serving.upstream_registry import UpstreamRegistry
from gooseberryquay.serving.version_history import (
    StoredStreams,
    StreamOrigin,
    VersionHistory,
    VersionSpan,
    newest_history,
)

__all__ = ["RecordPlace", "StreamVersions", "StreamVersionsOptions", "VersionUnknown"]

PREFIX = "streams/"
# Streams of two versions may be taken up for about as long as a caller waits for an answer.
STREAM_LIFETIME_S = 90.0
STREAMS_MAX = 4096
# With these, the own object stays below the 1 MB that the store takes.
KEPT_MAX = 2048
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
# Peers are asked to keep a record that a busy store has not taken by then.
STORE_ALONE_S = 0.1
# How often a stream of the earliest version tries whether records can be kept again.
PROBE_INTERVAL_S = 1.0
# What peers let this entry wait for a read of the store.
FIND_TIME_S = 0.3
# An entry may become one of those that record the only version of a service.
HISTORY_CHECK_S = 1.0
# Records of streams that began just before their entry ended may be about to be written.
READ_AGAIN_S = 0.25
READ_INTERVAL_S = 0.2
# Until then, streams of an earlier process that wrote late may be unrecorded.
LATE_WRITES_S = 5.0


class RecordPlace(Enum):
    """Name where the version of a stream is recorded before its first event."""

    STORE = "store"
    PEERS = "peers"
    NOWHERE = "nowhere"


@dataclass(frozen=True, slots=True)
class VersionUnknown:
    """Report that a stream may have begun at any of several versions."""


@dataclass(frozen=True, slots=True)
class StreamVersionsOptions:
    """Configure which entry this is, whether it writes while one version serves, and its list.

    `is_list_behind` returns whether other entries know, or may know, a newer list of upstreams.
    `on_begun` is called with where a stream is recorded that begins while several versions serve,
    `on_taken_up` with what a take-up rests on.
    """

    entry: EntryId
    writes_history: Callable[[], bool] = lambda: True
    is_list_behind: Callable[[], bool] = lambda: False
    lifetime_s: float = STREAM_LIFETIME_S
    on_begun: Callable[[str], None] = lambda _place: None
    on_taken_up: Callable[[str], None] = lambda _basis: None


class StreamVersions:
    """Record and look up the software versions of streams; thread-safe.

    While one version of a service serves, nothing is written but that version. Once another
    appears, each entry writes its streams to an object of its own, in batches, and passes no event
    of a stream on before its record is stored or, if the store can't be written, kept by two peers.
    If neither is possible, streams begin at the earliest version only, while that serves. A stream
    without a record has then begun at the earliest version.
    """

    def __init__(
        self,
        options: StreamVersionsOptions,
        registry: UpstreamRegistry,
        platform: SuspectObjects,
        log: DecisionLog,
        clock: Callable[[], float] = time.time,
        *,
        witnesses: Witnesses = NO_WITNESSES,
    ) -> None:
        self._options = options
        self._witnesses = witnesses
        self._registry = registry
        self._platform = platform
        self._log = log
        self._clock = clock
        self._started_at_s = clock()
        self._own: OrderedDict[RequestId, StreamOrigin] = OrderedDict()
        self._read: dict[RequestId, StreamOrigin] = {}
        # What peers that could not write have told.
        self._kept: dict[RequestId, StreamOrigin] = {}
        # What other entries have written, for as long as it is not read again.
        self._documents: list[StoredStreams] = []
        # Records are numbered; those up to the second number are stored.
        self._record_count = 0
        self._stored_count = 0
        self._failure_count = 0
        self._has_waiters = threading.Event()
        # Whether the last record was kept nowhere, so that streams begin at one version only.
        self._is_confined = False
        self._probed_at_s = float("-inf")
        self._restored_at_s = float("-inf")
        # When streams of an earlier process that did not write ahead no longer matter, and when
        # none of its streams does; None until its object was read.
        self._ahead_from_s: float | None = None
        self._witnessed_from_s = 0.0
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
    ) -> bool:
        """Record the version that began a stream, before its first event is passed on.

        Once several versions serve, waits until the store or peers have the record, at most for
        some RECORD_TIME_S. Returns False if neither has it and it began at a later version.
        """
        origin = StreamOrigin(service=service, version=version or "", at_s=self._clock())
        with self._lock:
            self._add_own_locked(stream, origin)
            self._is_dirty = True
            self._record_count += 1
            number = self._record_count
            self._observe_list_locked()
            oldest_s = self._oldest_s()
            if not self._history.is_mixed(service, oldest_s):
                return True
            earliest = self._history.earliest(service, oldest_s)
        self._has_waiters.set()
        self._changed.set()
        is_earliest = earliest is not None and earliest.version == origin.version
        if is_earliest and not self._may_probe():
            place = RecordPlace.NOWHERE
        else:
            place = self._find_place(stream, origin, number, caller or NullCallerWatch())
        self._options.on_begun(place.value)
        self._log.belief(
            "stream begins",
            stream=stream,
            service=service,
            version=version,
            earliest=earliest.version if earliest is not None else None,
            recorded=place.value,
            failures=self._failure_count,
        )
        return is_earliest or place is not RecordPlace.NOWHERE

    def only_version_to_begin(self, service: ServiceId) -> PinnedVersion | None:
        """Return the version at which alone streams can begin, None if they can at any.

        While streams can't be recorded, that is the one which a missing record stands for.
        """
        if not self._is_confined:
            return None
        with self._lock:
            earliest = self._history.earliest(service, self._oldest_s())
        if earliest is None:
            return None
        return PinnedVersion(SoftwareVersion(earliest.version) if earliest.version else None)

    def _may_probe(self) -> bool:
        """Return whether a record that need not be kept is to be tried."""
        now_s = time.monotonic()
        with self._lock:
            if self._is_confined and now_s - self._probed_at_s < PROBE_INTERVAL_S:
                return False
            self._probed_at_s = now_s
            return True

    def _add_own_locked(self, stream: RequestId, origin: StreamOrigin) -> None:
        self._own.pop(stream, None)
        self._own[stream] = origin
        if len(self._own) > STREAMS_MAX:
            _, dropped = self._own.popitem(last=False)
            if dropped.at_s >= self._oldest_s():
                self._witnessed_from_s = dropped.at_s + self._options.lifetime_s

    def _find_place(
        self, stream: RequestId, origin: StreamOrigin, number: int, caller: CallerWatch
    ) -> RecordPlace:
        """Wait for the store, and let peers keep the record if that takes long or fails."""
        until_s = time.monotonic() + RECORD_TIME_S
        place = RecordPlace.NOWHERE
        if self._wait_until_stored(number, caller, time.monotonic() + STORE_ALONE_S, 1):
            place = RecordPlace.STORE
        elif self._witnesses.keep(stream, origin, until_s):
            place = RecordPlace.PEERS
        # While the store is away, a further wait would delay each stream and store none.
        elif self._wait_until_stored(number, caller, until_s, FAILURES_MAX):
            place = RecordPlace.STORE
        if place is not RecordPlace.NOWHERE:
            self._is_confined = False
        elif not caller.is_disconnected():
            self._is_confined = True
        return place

    def _wait_until_stored(
        self, number: int, caller: CallerWatch, until_s: float, failures_max: int
    ) -> bool:
        with self._stored:
            while self._stored_count < number and self._failure_count < failures_max:
                left_s = until_s - time.monotonic()
                if left_s <= 0.0 or self._stopping.is_set() or caller.is_disconnected():
                    break
                self._stored.wait(min(left_s, POLL_INTERVAL_S))
            return self._stored_count >= number

    def keep_for_peer(self, origins: Mapping[RequestId, StreamOrigin]) -> bool:
        """Keep origins that a peer can't write, and write them; return False if there is no room.

        The peer may know of versions that this entry doesn't.
        """
        now_s = self._clock()
        with self._lock:
            oldest_s = self._oldest_s()
            if len(self._kept) + len(origins) > KEPT_MAX:
                self._kept = {
                    name: origin for name, origin in self._kept.items() if origin.at_s >= oldest_s
                }
            if len(self._kept) + len(origins) > KEPT_MAX:
                return False
            for name, origin in origins.items():
                at_s = min(origin.at_s, now_s)
                self._kept[name] = origin.model_copy(update={"at_s": at_s})
                seen = VersionSpan(
                    service=origin.service,
                    version=origin.version,
                    first_at_s=now_s,
                    last_at_s=now_s,
                )
                self._history.merge([seen], oldest_s)
            self._is_dirty = True
        self._has_waiters.set()
        self._changed.set()
        return True

    def find_for_peer(
        self, streams: Iterable[RequestId], reads_store: bool
    ) -> dict[RequestId, StreamOrigin]:
        """Return the origins that are known, those in the store if it is to be read."""
        wanted = set(streams)
        found = self._known_origins(wanted)
        if reads_store and len(found) < len(wanted):
            self._shared_read.wait(NullCallerWatch(), time.monotonic() + FIND_TIME_S)
            found = self._known_origins(wanted)
        return found

    def kept_for_s(self) -> float:
        """Return for how long origins have been kept here."""
        return max(0.0, self._clock() - self._started_at_s)

    def _known_origins(self, streams: Iterable[RequestId]) -> dict[RequestId, StreamOrigin]:
        with self._lock:
            origins = {
                each: self._own.get(each) or self._kept.get(each) or self._read.get(each)
                for each in streams
            }
        return {name: origin for name, origin in origins.items() if origin is not None}

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
        # A blank name names no stream.
        found = self._look_up(stream or None, service, caller or NullCallerWatch(), until_s)
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
        """Return what is known here, in the store, or else at peers.

        The list of upstreams alone may be behind, and then shows one version where others serve.
        """
        known = self._recorded(stream)
        if known is not None:
            return known
        is_read = self._shared_read.wait(caller, until_s)
        found = self._recorded(stream) or self._only_version(service, is_read)
        if found is not None:
            return found
        answers = self._ask_peers(stream, reads_store=not is_read)
        if answers.origin is not None:
            return StreamOriginFound(answers.origin.version, OriginBasis.KEPT_BY_PEER)
        if not is_read:
            return StreamOriginFound(None, OriginBasis.STORE_NOT_READ)
        time.sleep(min(READ_AGAIN_S, max(0.0, until_s - time.monotonic())))
        self._shared_read.wait(caller, until_s)
        found = self._recorded(stream) or self._only_version(service, is_read)
        if stream is None:
            return found or StreamOriginFound(None, OriginBasis.NO_NAME)
        return found or self._decide_without_record(service, answers)

    def _recorded(self, stream: RequestId | None) -> StreamOriginFound | None:
        if stream is None:
            return None
        with self._lock:
            own, kept, read = (each.get(stream) for each in (self._own, self._kept, self._read))
        if own is not None:
            return StreamOriginFound(own.version, OriginBasis.OWN_RECORD)
        if kept is not None:
            return StreamOriginFound(kept.version, OriginBasis.KEPT_FOR_PEER)
        if read is not None:
            return StreamOriginFound(read.version, OriginBasis.STORED_RECORD)
        return None

    def _only_version(self, service: ServiceId, is_read: bool) -> StreamOriginFound | None:
        """Return the only version; without the store, trust the list unless others know more."""
        if not is_read and (not self._was_read or self._options.is_list_behind()):
            return None
        with self._lock:
            self._observe_list_locked()
            only = self._history.only_version(service, self._oldest_s())
        if only is None:
            return None
        basis = OriginBasis.ONLY_VERSION if is_read else OriginBasis.ONLY_VERSION_LISTED
        return StreamOriginFound(only, basis)

    def _ask_peers(self, stream: RequestId | None, reads_store: bool) -> PeerAnswers:
        if stream is None:
            return PeerAnswers(None, (), are_all_asked=False)
        answers = self._witnesses.find(stream, reads_store)
        if answers.origin is not None:
            with self._lock:
                self._read[stream] = answers.origin
        return answers

    def _decide_without_record(self, service: ServiceId, answers: PeerAnswers) -> StreamOriginFound:
        now_s, oldest_s = self._clock(), self._oldest_s()
        with self._lock:
            earliest = self._history.earliest(service, oldest_s)
            documents = self._documents
        return decide_without_record(
            MissingRecord(
                oldest_s=oldest_s,
                earliest=earliest,
                restored_at_s=self._restored_at_s,
                has_unrecorded=earliest is not None
                and any(
                    each.written_at_s >= oldest_s
                    and each.has_seen_other(service, earliest.version)
                    and not each.is_witnessed
                    for each in documents
                ),
                kept_since_s=(
                    self._started_at_s,
                    *(now_s - each for each in answers.kept_for_s),
                ),
                are_all_asked=answers.are_all_asked,
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
        has_changed = self._history.observe(
            self._registry.versions(), self._clock(), self._oldest_s()
        )
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
            # A store that has come back from an older copy may lack what was read before.
            origins = list(self._read.items())
            for each in documents:
                origins += [(RequestId(name), origin) for name, origin in each.streams.items()]
            self._read = {name: origin for name, origin in origins if origin.at_s >= oldest_s}
            self._history.merge(newest_history(documents, self._clock()), oldest_s)
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
                str(name): origin
                for name, origin in (*self._kept.items(), *self._own.items())
                if origin.at_s >= oldest_s
            }
            history = self._history.kept(oldest_s)
        text = StoredStreams(
            written_at_s=now_s,
            is_written_ahead=now_s >= (self._ahead_from_s or 0.0),
            is_witnessed=now_s >= self._witnessed_from_s,
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
            self._is_confined = False
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
            now_s = self._clock()
            is_behind = bool(earlier.history) and not earlier.is_written_ahead
            self._ahead_from_s = now_s + LATE_WRITES_S if is_behind else 0.0
            if earlier.history and not earlier.is_witnessed:
                self._witnessed_from_s = now_s + self._options.lifetime_s
        with self._lock:
            for name, origin in earlier.streams.items():
                self._own.setdefault(RequestId(name), origin)
        return True

    def store_lost_writes(self) -> None:
        """Write the own object again after the store has come back from an older copy."""
        with self._lock:
            self._restored_at_s = self._clock()
            self._is_dirty = True
        self._changed.set()

    def _key(self) -> str:
        return f"{PREFIX}{self._options.entry}"

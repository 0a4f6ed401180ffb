"""In-memory platform, counting engine, and entries that share them."""

import random
import threading
import time
from dataclasses import dataclass, field

from result import Err, Ok

from gooseberryquay.contracts.settings import ChoiceSettings
from gooseberryquay.links.platform_client import (
    OutcomeUnknown,
    PlatformUnreachable,
    WriteConflict,
)
from gooseberryquay.links.platform_messages import InstanceEntry, StoredObject
from gooseberryquay.machines.cold_admission import ColdAdmission, ColdAdmissionCallbacks
from gooseberryquay.machines.cold_record import SlotHolder
from gooseberryquay.machines.cold_store import SlotStore
from gooseberryquay.machines.load_report import LoadReport, UpstreamCondition
from gooseberryquay.machines.tests.choice_builders import (
    SERVICE,
    MutableConfiguration,
    build_configuration,
    build_dispatcher,
    build_table,
    build_upstream,
    build_work,
)
from gooseberryquay.machines.work import Outcome

SETTLE_S = 0.3
ABSENT_S = 0.3


class MemoryPlatform:
    """Store objects in memory; writes can lose their response, be delayed or fail."""

    def __init__(self):
        self.objects = {}
        self.instance_ids = set()
        self.is_down = False
        self.lose_answers = 0
        self.land_late = 0
        self.late_writes = []
        self._lock = threading.Lock()

    def read(self, key):
        if self.is_down:
            return Err(PlatformUnreachable("down"))
        with self._lock:
            return Ok(self.objects.get(key))

    def write(self, key, value, expected_version=None):
        if self.is_down:
            return Err(PlatformUnreachable("down"))
        with self._lock:
            if self.land_late > 0:
                self.land_late -= 1
                self.late_writes.append((key, value, expected_version))
                return Err(OutcomeUnknown("write delayed"))
            written = self._write(key, value, expected_version)
            if self.lose_answers > 0:
                self.lose_answers -= 1
                return Err(OutcomeUnknown("response lost"))
            return written

    def land(self):
        """Carry out the delayed writes."""
        with self._lock:
            for each in self.late_writes:
                self._write(*each)
            self.late_writes.clear()

    def _write(self, key, value, expected_version):
        current = self.objects.get(key)
        version = current.version if current else 0
        if expected_version not in (None, version):
            return Err(WriteConflict(current))
        self.objects[key] = StoredObject(key=key, version=version + 1, value=value)
        return Ok(version + 1)

    def instances(self):
        if self.is_down:
            return Err(PlatformUnreachable("down"))
        return Ok(
            tuple(
                InstanceEntry(
                    id=name, kind="entry", zone="sask-a", address="127.0.0.1:1", incarnation=run
                )
                for name, run in self.instance_ids
            )
        )


@dataclass
class CountingEngine:
    """Count requests in flight and how often a cold engine exceeded its capacity."""

    cap: int
    is_cold: bool = True
    in_flight: int = 0
    peak: int = 0
    served: int = 0
    exceeded: int = 0
    lock: threading.Lock = field(default_factory=threading.Lock)

    def report(self):
        condition = UpstreamCondition.COLD if self.is_cold else UpstreamCondition.WARM
        return LoadReport(
            condition=condition, in_flight=self.in_flight, kv_total_tokens=100_000, step_s=0.02
        )

    def begin(self):
        with self.lock:
            self.in_flight += 1
            self.peak = max(self.peak, self.in_flight)
            if self.is_cold and self.in_flight > self.cap:
                self.exceeded += 1

    def end(self):
        with self.lock:
            self.in_flight -= 1
            self.served += 1


class TestEntry:
    """Dispatcher and cold admission of one entry, connected to the shared engine."""

    __test__ = False

    def __init__(self, name, run, platform, engine, entry_count=8):
        self.engine = engine
        self.platform = platform
        self.holder = SlotHolder(entry=name, incarnation=run)
        self.upstream = build_upstream(0, cold_in_flight_max=engine.cap)
        configuration = MutableConfiguration(build_configuration([self.upstream]))
        table = build_table(configuration)
        self.admission = ColdAdmission(
            SlotStore(platform, ABSENT_S),
            lambda: self.holder,
            table,
            settle_s=SETTLE_S,
            rng=random.Random(name),
        )
        self.dispatcher = build_dispatcher(
            configuration,
            ChoiceSettings(queue_patience=0.3),
            slots=self.admission,
            table=table,
            reports=None,
            entry_count=lambda: entry_count,
        )
        platform.instance_ids.add((name, run))
        self.callbacks = ColdAdmissionCallbacks(
            lambda _upstream: self.poll(), lambda: entry_count, self.dispatcher.capacity_changed
        )

    def poll(self):
        report = self.engine.report()
        self.dispatcher.record_report(self.upstream.id, report)
        return report

    def start(self):
        self.poll()
        self.admission.start(self.callbacks)
        return self

    def place(self):
        return self.dispatcher.place(build_work(service=SERVICE))

    def serve_one(self, hold_s):
        """Run one request if it is placed."""
        match self.place():
            case Ok(placed):
                self.engine.begin()
                time.sleep(hold_s)
                self.engine.end()
                placed.record_report(self.engine.report())
                placed.finish(Outcome.FINISHED)

    def wait_for_place(self, timeout_s=20.0):
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            match self.place():
                case Ok(placed):
                    return placed
        raise AssertionError("no placement before the timeout")


def wait_until(condition, timeout_s=20.0):
    """Wait until a condition holds."""
    end_s = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end_s, "condition did not hold before the timeout"
        time.sleep(0.02)


def start_entries(count, platform, engine):
    """Start entries that share one platform and one engine."""
    return [TestEntry(f"entry-{each}", 1, platform, engine).start() for each in range(count)]


def load_until(entries, is_over, hold_s=0.02):
    """Send requests from three threads at each entry until `is_over` returns true."""

    def call(entry):
        while not is_over():
            entry.serve_one(hold_s)

    threads = [threading.Thread(target=call, args=(each,)) for each in entries for _ in range(3)]
    for each in threads:
        each.start()
    for each in threads:
        each.join(60.0)

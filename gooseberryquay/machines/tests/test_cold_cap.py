import random
import threading
import time

import pytest

from gooseberryquay.machines.cold_record import AdmissionRecord
from gooseberryquay.machines.cold_store import SlotGranted, SlotStore
from gooseberryquay.machines.tests.cold_builders import (
    SETTLE_S,
    CountingEngine,
    MemoryPlatform,
    TestEntry,
    load_until,
    start_entries,
    wait_until,
)
from gooseberryquay.machines.work import Outcome


@pytest.fixture
def platform():
    return MemoryPlatform()


@pytest.mark.parametrize("cap", [1, 2, 4])
def test_eight_entries_never_exceed_a_small_cap(platform, cap):
    engine = CountingEngine(cap)
    entries = start_entries(8, platform, engine)
    end_s = time.monotonic() + 2.5
    load_until(entries, lambda: time.monotonic() > end_s and engine.served >= 10)
    assert engine.exceeded == 0
    assert engine.peak <= cap


def test_lost_write_answers_neither_leak_nor_double_a_slot(platform):
    engine = CountingEngine(2)
    entries = start_entries(4, platform, engine)
    rng = random.Random(5)
    end_s = time.monotonic() + 3.0

    def is_over():
        platform.lose_answers = 1 if rng.random() < 0.5 else 0
        return time.monotonic() > end_s and engine.served >= 10

    load_until(entries, is_over)
    assert engine.exceeded == 0


def _read_record(platform):
    return AdmissionRecord.model_validate_json(platform.objects["admission/engine-0"].value)


def test_work_sent_in_a_short_warm_spell_is_counted_when_the_engine_is_cold_again(platform):
    engine = CountingEngine(2)
    holder, sender, other = start_entries(3, platform, engine)
    held, also_held = holder.wait_for_place(), other.wait_for_place()
    engine.begin()
    engine.begin()
    engine.is_cold = False
    for entry in (holder, sender, other):
        entry.poll()
    sent_warm = sender.place().unwrap()
    engine.begin()
    wait_until(lambda: not _read_record(platform).is_settled)
    engine.is_cold = True
    for entry in (holder, sender, other):
        entry.poll()
    for each in (held, also_held):
        engine.end()
        each.finish(Outcome.FINISHED)
    end_s = time.monotonic() + 1.8
    load_until([holder, other], lambda: time.monotonic() > end_s)
    assert engine.exceeded == 0
    engine.end()
    sent_warm.finish(Outcome.FINISHED)


class RacingPlatform(MemoryPlatform):
    """Run another write before the first write."""

    race = None

    def write(self, key, value, expected_version=None):
        race, self.race = self.race, None
        if race:
            race()
        return super().write(key, value, expected_version)


def test_entry_that_is_overtaken_on_the_way_to_the_only_slot_gets_none():
    """Both entries have read that the slot is free and that the engine is idle."""
    platform = RacingPlatform()
    first, second = (TestEntry(name, 1, platform, CountingEngine(1)) for name in ("a", "b"))

    def acquire(entry):
        return SlotStore(platform).acquire(entry.upstream, entry.holder, 0, 0)

    platform.race = lambda: acquire(first)
    assert acquire(second) == SlotGranted(0)
    assert _read_record(platform).holders == (first.holder,)


class StaleReader(TestEntry):
    """Entry whose reports are always stale: a request starts just after each measurement."""

    other = None
    placed = None
    settled_polls = 0
    settled_at_s = float("inf")
    lock = threading.Lock()

    def poll(self):
        with self.lock:
            return self._poll()

    def _poll(self):
        if self.placed:
            self.engine.end()
            self.placed.finish(Outcome.FINISHED)
            self.placed = None
        report = super().poll()
        if self.other:
            self.settled_polls += time.monotonic() > self.settled_at_s
            self.placed = self.other.wait_for_place()
            self.engine.begin()
        return report


def test_entry_that_sees_no_work_gets_no_slot_while_another_holds_the_only_one(platform):
    engine = CountingEngine(1)
    holder = TestEntry("entry-0", 1, platform, engine).start()
    holder.wait_for_place().finish(Outcome.FINISHED)
    late = StaleReader("entry-1", 1, platform, engine)
    late.other = holder
    late.start()
    late.settled_at_s = time.monotonic() + SETTLE_S
    while late.settled_polls < 3:
        assert late.place().is_err()
    assert late.admission.held(late.upstream.id) == 0
    late.other = None
    late.poll()
    late.wait_for_place()
    assert engine.peak == 1

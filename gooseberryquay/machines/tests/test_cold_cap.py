import random
import time

import pytest

from gooseberryquay.machines.cold_record import AdmissionRecord
from gooseberryquay.machines.tests.cold_builders import (
    CountingEngine,
    MemoryPlatform,
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
    randomness = random.Random(5)
    end_s = time.monotonic() + 3.0

    def is_over():
        platform.lose_answers = 1 if randomness.random() < 0.5 else 0
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

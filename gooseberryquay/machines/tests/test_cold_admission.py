import time

import pytest
from result import Ok

from gooseberryquay.machines.cold_record import AdmissionRecord, SlotHolder
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


def test_warm_engine_that_turns_cold_gets_nothing_until_its_work_is_counted(platform):
    engine = CountingEngine(2, is_cold=False)
    entries = start_entries(4, platform, engine)
    running = [entry.place().unwrap() for entry in entries]
    for _ in running:
        engine.begin()
    engine.is_cold = True
    for entry in entries:
        entry.poll()
    end_s = time.monotonic() + 1.5
    while time.monotonic() < end_s:
        assert all(entry.place().is_err() for entry in entries)
    for placed in running:
        engine.end()
        placed.finish(Outcome.FINISHED)
    load_until(entries, lambda: engine.served >= 20)
    assert engine.exceeded == 0


def test_request_of_an_entry_that_does_not_know_yet_is_counted_before_any_slot(platform):
    engine = CountingEngine(1, is_cold=False)
    informed, uninformed = start_entries(2, platform, engine)
    engine.is_cold = True
    informed.poll()
    assert informed.dispatcher.queued() == 0
    assert not informed.admission.has_free(informed.upstream)
    time.sleep(SETTLE_S / 2)
    late = uninformed.place().unwrap()
    engine.begin()
    uninformed.poll()
    end_s = time.monotonic() + 1.0
    while time.monotonic() < end_s:
        assert informed.place().is_err()
    engine.end()
    late.finish(Outcome.FINISHED)
    assert informed.wait_for_place().upstream.id == "engine-0"


def test_slot_of_a_dead_holder_is_freed_only_once_its_run_is_gone_and_its_work_ended(platform):
    engine = CountingEngine(1)
    holder = TestEntry("entry-0", 1, platform, engine).start()
    holder.wait_for_place()
    holder.admission._stopped.set()
    other = TestEntry("entry-1", 1, platform, engine).start()
    end_s = time.monotonic() + 1.5
    while time.monotonic() < end_s:
        assert other.place().is_err()
    engine.begin()
    platform.instance_ids.remove(("entry-0", 1))
    end_s = time.monotonic() + 1.5
    while time.monotonic() < end_s:
        assert other.place().is_err()
    engine.end()
    assert other.wait_for_place().upstream.id == "engine-0"


def test_release_that_lands_late_does_not_free_a_slot_in_use(platform):
    engine = CountingEngine(1)
    entry = TestEntry("entry-0", 1, platform, engine).start()
    placed = entry.wait_for_place()
    platform.land_late = 1
    placed.finish(Outcome.FINISHED)
    wait_until(lambda: platform.late_writes)
    wait_until(lambda: entry.admission.held(entry.upstream.id) == 1)
    platform.land()
    record = AdmissionRecord.model_validate_json(platform.objects["admission/engine-0"].value)
    assert record.holders == (entry.holder,)


def test_outage_gives_no_new_slots_and_keeps_held_ones(platform):
    engine = CountingEngine(2)
    holder, other = start_entries(2, platform, engine)
    holder.wait_for_place().finish(Outcome.FINISHED)
    platform.is_down = True
    end_s = time.monotonic() + 1.5
    while time.monotonic() < end_s:
        assert other.place().is_err()
        match holder.place():
            case Ok(placed):
                placed.finish(Outcome.FINISHED)
            case _:
                raise AssertionError("a held slot was lost")


def test_request_that_broke_off_keeps_its_slot_busy(platform):
    engine = CountingEngine(1)
    entry = TestEntry("entry-0", 1, platform, engine).start()
    placed = entry.wait_for_place()
    engine.begin()
    placed.finish(Outcome.BROKEN)
    entry.poll()
    assert entry.place().is_err()
    engine.end()
    entry.poll()
    assert entry.place().is_ok()


def test_entry_that_was_paused_reads_its_slots_again_before_use(platform):
    engine = CountingEngine(1)
    entry = TestEntry("entry-0", 1, platform, engine).start()
    entry.wait_for_place().finish(Outcome.FINISHED)
    platform.objects["admission/engine-0"] = platform.objects["admission/engine-0"].model_copy(
        update={"version": 99, "value": AdmissionRecord().model_dump_json()}
    )
    platform.is_down = True
    entry.admission._pause_counter._ticked_at_s -= 10.0
    assert entry.place().is_err()
    platform.is_down = False
    wait_until(lambda: entry.admission.held(entry.upstream.id) == 0 or entry.place().is_ok())


def test_dead_slots_count_as_unslotted_work():
    dead = SlotHolder(entry="entry-0", incarnation=1)
    alive = SlotHolder(entry="entry-1", incarnation=1)
    record = AdmissionRecord(holders=(dead, alive), is_settled=True)
    freed = record.without_dead([dead])
    assert not freed.with_report(1, 0).has_room(2)
    assert freed.with_report(1, 1).has_room(2)
    assert freed.with_report(0, 0).has_room(2)

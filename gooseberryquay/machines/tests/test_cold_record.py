from gooseberryquay.machines.cold_record import AdmissionRecord, SlotHolder
from gooseberryquay.machines.held_slots import HeldSlots
from gooseberryquay.machines.tests.choice_builders import build_upstream

FIRST = SlotHolder(entry="entry-1", incarnation=1)
SECOND = SlotHolder(entry="entry-2", incarnation=1)


def test_work_outside_of_slots_takes_up_the_cap():
    record = AdmissionRecord()
    assert not record.has_room(4)
    assert not record.with_report(4, 0).has_room(4)
    assert record.with_report(3, 0).has_room(4)
    assert not record.with_report(3, 0).with_slot(FIRST).has_room(4)
    assert AdmissionRecord(holders=(FIRST,)).with_report(3, 1).has_room(4)


def test_settled_count_only_falls_unless_more_is_in_flight_than_slots_allow():
    record = AdmissionRecord(holders=(FIRST, SECOND), is_settled=True, unslotted=1)
    assert record.with_report(2, 0).unslotted == 1
    assert record.with_report(0, 0).unslotted == 0
    assert record.with_report(5, 0).unslotted == 3
    assert record.unsettled().with_report(2, 0).unslotted == 2


def test_slot_of_a_request_in_doubt_is_free_only_after_a_report_that_accounts_for_it():
    slots = HeldSlots(build_upstream(1), held=1)
    assert slots.take(10.0)
    assert not slots.take(10.0)
    slots.return_slot(is_certain=False, now_s=11.0)
    assert slots.free(11.0) == 0
    slots.record_in_flight(0, measured_at_s=10.5)
    assert slots.free(12.0) == 0
    slots.record_in_flight(1, measured_at_s=12.0)
    assert slots.free(12.0) == 0
    slots.record_in_flight(0, measured_at_s=12.5)
    assert slots.free(12.5) == 1


def test_slot_held_through_a_warm_spell_is_only_released():
    slots = HeldSlots(build_upstream(1), held=1, has_recorded_warm=True)
    assert not slots.take(10.0)
    assert slots.unused(10.0) == 1

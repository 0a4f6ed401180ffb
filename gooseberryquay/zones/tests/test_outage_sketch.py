import pytest

from gooseberryquay.ids import EntryId
from gooseberryquay.zones.outage_sketch import OutageRound, OutageSketch


def _sketch_of(*numbers):
    sketch = OutageSketch()
    for number in numbers:
        sketch.add(EntryId(f"entry-{number}"))
    return sketch


@pytest.mark.parametrize("count", [0, 1, 3, 4, 5, 8])
def test_small_counts_are_exact(count):
    assert _sketch_of(*range(count)).count() == count


def test_a_third_of_the_target_fleet_is_not_counted_as_half_of_it():
    assert _sketch_of(*range(160)).count() < 240 < _sketch_of(*range(480)).count()


def test_merge_is_idempotent_and_reports_new_bits():
    sketch, other = _sketch_of(1, 2), _sketch_of(2, 3)
    assert sketch.merge(other.current_round())
    assert not sketch.merge(other.current_round())
    assert sketch.count() == 3


def test_reports_expire_after_two_rounds():
    sketch = _sketch_of(1, 2)
    sketch.merge(OutageRound(number=1, bits="0"))
    assert sketch.count() == 2
    sketch.merge(OutageRound(number=2, bits="0"))
    assert sketch.count() == 0


def test_old_round_is_ignored():
    sketch = _sketch_of()
    sketch.merge(OutageRound(number=9, bits="0"))
    sketch.merge(_sketch_of(1).current_round())
    assert sketch.count() == 0

import pytest
from result import Err, Ok

from gooseberryquay.links.platform_client import PlatformUnreachable
from gooseberryquay.machines.lease import Lease, LeaseLapsed, LeaseTaken
from gooseberryquay.standins.platform_faults import LostAnswers, Outage, PlatformFaults


class Clock:
    def __init__(self, now_s):
        self.now_s = now_s

    def __call__(self):
        return self.now_s


@pytest.fixture
def lease_of(platform):
    def build(holder, clock):
        return Lease(platform, "upstream-1", holder, 10.0, clock)

    return build


def test_lease_lapses_by_the_readers_clock_alone(lease_of):
    holder_clock, reader_clock = Clock(1e9), Clock(5.0)
    holder = lease_of("a", holder_clock)
    reader = lease_of("b", reader_clock)
    assert holder.acquire().unwrap().fencing_number == 1
    reader_clock.now_s = 5000.0
    assert isinstance(reader.acquire().unwrap_err(), LeaseTaken)
    reader_clock.now_s += 9.9
    assert isinstance(reader.acquire().unwrap_err(), LeaseTaken)
    reader_clock.now_s += 0.2
    taken = reader.acquire().unwrap()
    assert (taken.fencing_number, taken.was_lapsed) == (2, True)


def test_renewal_starts_the_readers_wait_again(lease_of):
    holder_clock, reader_clock = Clock(0.0), Clock(0.0)
    holder, reader = lease_of("a", holder_clock), lease_of("b", reader_clock)
    holder.acquire()
    reader.acquire()
    reader_clock.now_s = 9.0
    assert isinstance(holder.renew(), Ok)
    reader.acquire()
    reader_clock.now_s = 18.0
    assert isinstance(reader.acquire().unwrap_err(), LeaseTaken)


def test_holder_gives_up_before_a_reader_may_take_over(lease_of):
    clock = Clock(0.0)
    holder = lease_of("a", clock)
    holder.acquire()
    clock.now_s = 9.5
    assert holder.remaining_s() == 0
    assert isinstance(holder.renew().unwrap_err(), LeaseLapsed)


def test_released_lease_is_free_at_once_under_a_higher_number(lease_of):
    first, second = lease_of("a", Clock(0.0)), lease_of("b", Clock(0.0))
    first.acquire()
    first.release()
    taken = second.acquire().unwrap()
    assert (taken.fencing_number, taken.was_lapsed) == (2, False)


@pytest.mark.parametrize("is_applied", [True, False])
def test_lost_answers_are_read_back(lease_of, platform_standin, is_applied):
    def lose_next():
        lost = LostAnswers(count=1, key_prefix="leases/", is_applied=is_applied)
        platform_standin.set_faults(PlatformFaults(lost_answers=lost))

    lease = lease_of("a", Clock(0.0))
    lose_next()
    assert lease.acquire().unwrap().fencing_number == 1
    lose_next()
    assert lease.renew().unwrap().fencing_number == 1
    lose_next()
    assert lease.release() == Ok(None)
    assert lease_of("b", Clock(0.0)).acquire().unwrap().fencing_number == 2


def test_outage_gives_no_lease(lease_of, platform_standin):
    platform_standin.set_faults(PlatformFaults(outage=Outage.REFUSE))
    match lease_of("a", Clock(0.0)).acquire():
        case Err(PlatformUnreachable()):
            pass
        case other:
            assert other.is_err()
    platform_standin.set_faults(PlatformFaults())
    assert lease_of("a", Clock(0.0)).acquire().unwrap().fencing_number == 1

import threading
import time

from result import Err, Ok

from gooseberryquay.errors import Overloaded
from gooseberryquay.links.suspect_dispatcher import SuspectDispatcher
from gooseberryquay.links.tests.builders import HeldPlacement
from gooseberryquay.machines.suspect_messages import Verdict
from gooseberryquay.machines.tests.choice_builders import build_upstream, build_work

NO_UPSTREAM = Err(Overloaded("no upstream may get this request", retry_after_s=1.0))


class OneUpstream:
    """Place every request at one upstream unless it is excluded."""

    def place(self, work):
        upstream = build_upstream()
        return NO_UPSTREAM if upstream.id in work.excluded else Ok(HeldPlacement(upstream))


class ScriptedSuspects:
    """Hold one verdict for every request and one place for suspects."""

    def __init__(self, verdict):
        self.current = verdict
        self.is_taken = threading.Event()
        self.asked = threading.Semaphore(0)

    def verdict(self, _fingerprint):
        return self.current

    def take_slot(self, _fingerprint, _upstream):
        self.asked.release()
        return not self.is_taken.is_set()


def _place_in_thread(guard, work):
    results = []
    thread = threading.Thread(target=lambda: results.append(guard.place(work)))
    thread.start()
    return thread, results


def _taken(verdict=Verdict.ALONE):
    suspects = ScriptedSuspects(verdict)
    suspects.is_taken.set()
    return suspects, SuspectDispatcher(OneUpstream(), suspects, None)


def test_suspect_waits_while_another_one_runs_at_the_last_upstream():
    suspects, guard = _taken()
    thread, results = _place_in_thread(guard, build_work(first_token_s=60.0))
    assert suspects.asked.acquire(timeout=20.0)
    suspects.is_taken.clear()
    thread.join(20.0)
    assert results[0].is_ok()


def test_suspect_that_is_cleared_while_it_waits_runs_at_once():
    suspects, guard = _taken()
    thread, results = _place_in_thread(guard, build_work(first_token_s=60.0))
    assert suspects.asked.acquire(timeout=20.0)
    suspects.current = Verdict.NORMAL
    thread.join(20.0)
    assert results[0].is_ok()


def test_suspect_that_finds_no_upstream_in_time_is_told_when_to_come_back():
    _, guard = _taken()
    refusal = guard.place(build_work(first_token_s=0.2)).unwrap_err()
    assert isinstance(refusal, Overloaded)
    assert refusal.retry_after_s > 0


def test_suspect_does_not_wait_past_its_deadline():
    suspects, guard = _taken()
    past = build_work(first_token_s=60.0, deadline_at_s=time.monotonic())
    assert guard.place(past).is_err()
    assert suspects.asked.acquire(blocking=False)
    assert not suspects.asked.acquire(blocking=False)

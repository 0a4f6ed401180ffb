import threading
import time

from result import Err, Ok

from gooseberryquay.errors import Overloaded
from gooseberryquay.links.suspect_dispatcher import SuspectDispatcher
from gooseberryquay.links.tests.builders import RecordingPlacement
from gooseberryquay.machines.suspect_messages import Verdict
from gooseberryquay.machines.tests.choice_builders import build_upstream, build_work

NO_UPSTREAM = Err(Overloaded("no upstream may get this request", retry_after_s=1.0))


class SingleUpstreamDispatcher:
    """Place every request at the same upstream unless it is excluded."""

    def place(self, work):
        upstream = build_upstream()
        return NO_UPSTREAM if upstream.id in work.excluded else Ok(RecordingPlacement(upstream))


class ScriptedSuspects:
    """Return one verdict for every request, and offer one slot for suspects."""

    def __init__(self, verdict):
        self.current = verdict
        self.is_taken = threading.Event()
        self.queried = threading.Semaphore(0)

    def verdict(self, _fingerprint):
        return self.current

    def take_slot(self, _fingerprint, _upstream):
        self.queried.release()
        return not self.is_taken.is_set()


def _place_in_thread(dispatcher, work):
    results = []
    thread = threading.Thread(target=lambda: results.append(dispatcher.place(work)))
    thread.start()
    return thread, results


def _dispatcher_with_slot_taken(verdict=Verdict.ALONE):
    suspects = ScriptedSuspects(verdict)
    suspects.is_taken.set()
    return suspects, SuspectDispatcher(SingleUpstreamDispatcher(), suspects, None)


def test_suspect_waits_while_another_one_runs_at_the_last_upstream():
    suspects, dispatcher = _dispatcher_with_slot_taken()
    thread, results = _place_in_thread(dispatcher, build_work(first_token_s=60.0))
    assert suspects.queried.acquire(timeout=20.0)
    suspects.is_taken.clear()
    thread.join(20.0)
    assert results[0].is_ok()


def test_suspect_that_is_cleared_while_it_waits_runs_immediately():
    suspects, dispatcher = _dispatcher_with_slot_taken()
    thread, results = _place_in_thread(dispatcher, build_work(first_token_s=60.0))
    assert suspects.queried.acquire(timeout=20.0)
    suspects.current = Verdict.NORMAL
    thread.join(20.0)
    assert results[0].is_ok()


def test_suspect_that_finds_no_upstream_in_time_gets_a_retry_after():
    _, dispatcher = _dispatcher_with_slot_taken()
    refusal = dispatcher.place(build_work(first_token_s=0.2)).unwrap_err()
    assert isinstance(refusal, Overloaded)
    assert refusal.retry_after_s > 0


def test_suspect_does_not_wait_past_its_deadline():
    suspects, dispatcher = _dispatcher_with_slot_taken()
    past = build_work(first_token_s=60.0, deadline_at_s=time.monotonic())
    assert dispatcher.place(past).is_err()
    assert suspects.queried.acquire(blocking=False)
    assert not suspects.queried.acquire(blocking=False)

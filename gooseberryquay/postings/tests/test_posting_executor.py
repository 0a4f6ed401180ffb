import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
from result import Err, Ok

from gooseberryquay.errors import (
    AnswerNotKept,
    DeadlineUnreachable,
    IdempotencyKeyReused,
    Overloaded,
    PlatformUnavailable,
    Ran,
    RequestTooOld,
    UnknownOutcome,
    UntimedKeysFull,
    UpstreamFailed,
)
from gooseberryquay.links.dispatch_outcome import (
    IndeterminateOutcome,
    NotExecuted,
    RefusedByUpstream,
    UpstreamResponse,
)
from gooseberryquay.links.http_client import TransportTimeout
from gooseberryquay.postings import PostingExecutor
from gooseberryquay.postings.posting import locate
from gooseberryquay.postings.sharded_claim_registry import choose_owner
from gooseberryquay.postings.tests.builders import (
    TIMEOUT_S,
    ActsAfterRelease,
    CountingService,
    Fleet,
    PausedAfterClaim,
    build_key,
    build_posting,
    build_settings,
)

SHORT_S = 0.3


@pytest.fixture
def service():
    return CountingService()


def run(desk, service, key, **posting):
    return desk.run_once(build_posting(key, **posting), service.dispatch(key))


def test_repeat_at_every_entry_gets_the_recorded_answer(service):
    key = build_key()
    with Fleet(3) as fleet:
        answers = [run(desk, service, key) for desk in fleet.desks + fleet.desks]
    assert [each.unwrap().body for each in answers] == [b'{"run": 1}'] * 6
    assert service.runs[key] == 1


def test_outage_before_the_claim_is_refused_as_not_run_and_the_key_stays_usable(service):
    with Fleet(2, owner_timeout_s=0.1) as fleet:
        key = build_key()
        for link in fleet.links:
            link.is_out = True
        refusal = run(fleet.desks[0], service, key, timeout_s=SHORT_S).unwrap_err()
        assert isinstance(refusal, PlatformUnavailable) and refusal.ran is Ran.NO
        assert service.runs[key] == 0
        for link in fleet.links:
            link.is_out = False
        assert all(desk.close(TIMEOUT_S) for desk in fleet.desks)
        assert run(fleet.desks[1], service, key).is_ok()
    assert service.runs[key] == 1


def test_lost_claim_answer_is_resolved_by_reading_back(service):
    key = build_key()
    with Fleet(1) as fleet:
        fleet.links[0].lost_answers = 1
        assert run(fleet.desks[0], service, key).is_ok()
        assert run(fleet.desks[0], service, key).unwrap().body == b'{"run": 1}'
    assert service.runs[key] == 1


def test_claim_that_lands_after_its_caller_was_refused_does_not_stay(service):
    with Fleet(2) as fleet:
        key = build_key()
        fleet.isolate_views()
        first = fleet.links[0]
        assert run(fleet.desks[0], service, build_key()).is_ok()
        first.is_holding_next_write = True
        refusal = run(fleet.desks[0], service, key, timeout_s=SHORT_S).unwrap_err()
        assert isinstance(refusal, PlatformUnavailable) and refusal.ran is Ran.NO
        assert isinstance(first.land_held_write(), Ok)
        repeat = run(fleet.desks[1], service, key).unwrap_err()
        assert isinstance(repeat, UnknownOutcome) and repeat.retry_after_s
        first.is_out = False
        assert fleet.desks[0].close(TIMEOUT_S)
        assert run(fleet.desks[1], service, key).is_ok()
    assert service.runs[key] == 1


def test_entries_that_each_think_they_own_the_shard_run_a_key_once(service):
    keys = [build_key() for _ in range(20)]
    with Fleet(4, head_bytes_max=1024, shard_count=2) as fleet, ThreadPoolExecutor(40) as pool:
        fleet.isolate_views()
        calls = [(desk, key) for key in keys for desk in fleet.desks]
        list(pool.map(lambda call: run(call[0], service, call[1]), calls))
        again = [run(desk, service, key) for desk, key in calls]
    assert [service.runs[key] for key in keys] == [1] * len(keys)
    assert all(each.unwrap().body == b'{"run": 1}' for each in again)


def test_paused_holder_keeps_its_claim(service):
    key = build_key()
    paused, resume = threading.Event(), threading.Event()

    def pause():
        paused.set()
        assert resume.wait(TIMEOUT_S)

    with Fleet(2, running_s=0.01) as fleet, ThreadPoolExecutor(1) as pool:
        held = pool.submit(
            fleet.desks[0].run_once, build_posting(key), service.dispatch(key, before=pause)
        )
        assert paused.wait(TIMEOUT_S)
        repeat = run(fleet.desks[1], service, key).unwrap_err()
        assert isinstance(repeat, UnknownOutcome) and repeat.ran is Ran.MAYBE
        resume.set()
        assert held.result(TIMEOUT_S).is_ok()
        assert run(fleet.desks[1], service, key).is_ok()
    assert service.runs[key] == 1


def test_answer_is_returned_in_an_outage_and_recorded_after_it(service):
    key = build_key()
    with Fleet(2, record_timeout_s=0.2, owner_timeout_s=0.1) as fleet:
        fleet.isolate_views()
        link = fleet.links[0]
        cut = service.dispatch(key, before=lambda: setattr(link, "is_out", True))
        assert fleet.desks[0].run_once(build_posting(key), cut).is_ok()
        assert fleet.desks[0].has_unfinished()
        assert isinstance(run(fleet.desks[1], service, key).unwrap_err(), UnknownOutcome)
        link.is_out = False
        assert fleet.desks[0].close(TIMEOUT_S)
        assert run(fleet.desks[1], service, key).unwrap().body == b'{"run": 1}'
    assert service.runs[key] == 1


def test_refusal_by_the_upstream_frees_the_key(service):
    key = build_key()
    with Fleet(2) as fleet:
        refusing = service.dispatch("other", outcome=RefusedByUpstream("busy", 2.0))
        refusal = fleet.desks[0].run_once(build_posting(key), refusing).unwrap_err()
        assert (type(refusal), refusal.ran, refusal.retry_after_s) == (Overloaded, Ran.NO, 2.0)
        assert run(fleet.desks[1], service, key).is_ok()


def test_lost_answer_stays_unknown_for_repeats(service):
    key = build_key()
    with Fleet(2) as fleet:
        losing = service.dispatch(key, outcome=IndeterminateOutcome("late"))
        first = fleet.desks[0].run_once(build_posting(key), losing)
        for each in (first, run(fleet.desks[1], service, key)):
            assert each == Err(UnknownOutcome(each.unwrap_err().message, Ran.MAYBE))
    assert service.runs[key] == 1


def test_failing_dispatch_counts_as_maybe_run(service):
    key = build_key()

    def fail(_token):
        raise RuntimeError("bug")

    with Fleet(1) as fleet:
        refusal = fleet.desks[0].run_once(build_posting(key), fail).unwrap_err()
        assert isinstance(refusal, UnknownOutcome)
        assert run(fleet.desks[0], service, key).is_err()


def test_key_with_another_body_is_refused(service):
    key = build_key()
    with Fleet(1) as fleet:
        assert run(fleet.desks[0], service, key).is_ok()
        reused = run(fleet.desks[0], service, key, body=b'{"kg": 2}').unwrap_err()
    assert isinstance(reused, IdempotencyKeyReused) and service.runs[key] == 1
    assert reused.ran is Ran.YES


def test_key_under_way_with_another_body_is_not_said_to_be_not_run(service):
    """A request with the other body may run as soon as the holder frees the key."""
    key, reused = build_key(), []
    with Fleet(2) as fleet:

        def reuse():
            answer = run(fleet.desks[1], service, key, body=b'{"kg": 2}')
            reused.append(answer.unwrap_err())

        refusing = service.dispatch("other", RefusedByUpstream("busy"), before=reuse)
        assert fleet.desks[0].run_once(build_posting(key), refusing).unwrap_err().ran is Ran.NO
        assert isinstance(reused[0], IdempotencyKeyReused) and reused[0].ran is Ran.MAYBE
        assert run(fleet.desks[1], service, key, body=b'{"kg": 2}').is_ok()


def test_key_older_than_the_horizon_is_not_said_to_be_not_run(service):
    with Fleet(1, horizon_s=600.0) as fleet:
        old = run(fleet.desks[0], service, build_key(age_s=700)).unwrap_err()
        future = run(fleet.desks[0], service, build_key(age_s=-700)).unwrap_err()
    for each in (old, future):
        assert isinstance(each, RequestTooOld) and each.ran is Ran.MAYBE


def test_untimed_keys_are_bounded_and_kept(service):
    with Fleet(2, untimed_keys_max=3, shard_count=1) as fleet:
        assert all(run(fleet.desks[0], service, f"key-{n}").is_ok() for n in range(3))
        full = run(fleet.desks[0], service, "key-3").unwrap_err()
        assert isinstance(full, UntimedKeysFull) and full.ran is Ran.NO
        assert run(fleet.desks[0], service, "key-0").is_ok()
        fleet.isolate_views()
        assert all(run(fleet.desks[1], service, f"key-{n}").is_ok() for n in range(3))
    assert service.runs == {f"key-{n}": 1 for n in range(3)}


def test_answer_over_the_bound_is_known_to_have_run(service):
    key = build_key()
    large = UpstreamResponse(200, "text/plain", b"x" * 100)
    with Fleet(1, answer_bytes_max=10) as fleet:
        first = fleet.desks[0].run_once(build_posting(key), service.dispatch(key, large))
        assert first.unwrap().body == large.body
        repeat = run(fleet.desks[0], service, key).unwrap_err()
    assert isinstance(repeat, AnswerNotKept) and repeat.ran is Ran.YES


def test_dead_owner_is_bypassed(service):
    with Fleet(2, owner_timeout_s=0.2) as fleet:
        fleet.servers[1].stop()
        postings = [build_posting() for _ in range(40)]
        shards = {each.key: locate(each, fleet.settings).shard for each in postings}
        owners = {key: choose_owner(shards[key], tuple(fleet.members)).id for key in shards}
        orphaned = [key for key, owner in owners.items() if owner == "entry-1"]
        assert orphaned
        assert all(run(fleet.desks[0], service, key).is_ok() for key in orphaned)


def test_deadline_that_passed_while_paused_after_the_claim_frees_the_key(service):
    with Fleet(1) as fleet:
        key = build_key()
        paused = PausedAfterClaim(fleet.links[0], fleet.peers[0], fleet.settings)
        desk = PostingExecutor(fleet.links[0], fleet.peers[0], fleet.settings, paused)
        late = run(desk, service, key, timeout_s=1.0).unwrap_err()
        assert isinstance(late, DeadlineUnreachable) and late.ran is Ran.NO
        assert service.runs[key] == 0
        assert run(fleet.desks[0], service, key).is_ok()


def test_one_write_carries_many_records(service):
    keys = [build_key() for _ in range(40)]
    with Fleet(1, shard_count=1, write_interval_s=0.1) as fleet, ThreadPoolExecutor(40) as pool:
        list(pool.map(lambda key: run(fleet.desks[0], service, key), keys))
        assert fleet.links[0].write_count < len(keys)
    assert all(service.runs[key] == 1 for key in keys)


def test_repeat_in_an_outage_is_not_said_to_be_not_run_at_any_entry(service):
    key = build_key()
    with Fleet(3, owner_timeout_s=0.1) as fleet:
        assert run(fleet.desks[0], service, key).is_ok()
        for link in fleet.links:
            link.is_out = True
        outcomes = [run(desk, service, key, timeout_s=SHORT_S) for desk in fleet.desks]
        fresh = run(fleet.desks[2], service, build_key(), timeout_s=SHORT_S).unwrap_err()
        fleet.servers[0].stop()
        fresh_with_an_entry_silent = run(
            fleet.desks[2], service, build_key(), timeout_s=SHORT_S
        ).unwrap_err()
    assert all(each.is_ok() or each.unwrap_err().ran is Ran.MAYBE for each in outcomes)
    assert fresh.ran is Ran.NO
    assert fresh_with_an_entry_silent.ran is Ran.MAYBE


def test_run_by_an_entry_that_went_out_of_view_is_not_excluded_in_an_outage(service):
    with Fleet(2, owner_timeout_s=0.1, clock_skew_s=0.0) as fleet:
        assert run(fleet.desks[1], service, build_key()).is_ok()
        fleet.isolate_views()
        assert run(fleet.desks[1], service, build_key()).is_ok()
        key, untimed = build_key(), "weight-17"
        assert run(fleet.desks[0], service, key).is_ok()
        assert run(fleet.desks[0], service, untimed).is_ok()
        fleet.links[1].is_out = True
        refusals = [
            run(fleet.desks[1], service, each, timeout_s=SHORT_S).unwrap_err()
            for each in (key, untimed)
        ]
        assert [each.ran for each in refusals] == [Ran.MAYBE] * 2
        first = run(
            fleet.desks[1], service, build_key(), timeout_s=SHORT_S, is_first_attempt=True
        ).unwrap_err()
        assert first.ran is Ran.NO


def test_entry_with_other_settings_finds_the_claims_of_the_rest(service):
    key = build_key()
    with Fleet(2, shard_count=4, bucket_s=60) as fleet:
        assert run(fleet.desks[0], service, key).is_ok()
        other = build_settings(shard_count=8, bucket_s=30)
        changed = PostingExecutor(fleet.links[1], fleet.peers[1], other)
        assert run(changed, service, key).unwrap().body == b'{"run": 1}'
    assert service.runs[key] == 1


def test_key_does_not_run_between_the_testimony_and_the_refusal_that_rests_on_it(service):
    """A request for the same key starts at an entry that has just testified."""
    with Fleet(2, owner_timeout_s=0.1) as fleet, ThreadPoolExecutor(1) as threads:
        assert all(run(desk, service, build_key()).is_ok() for desk in fleet.desks)
        key = build_key()
        for link in fleet.links:
            link.is_out = True
        peers, sent = fleet.peers[0], []
        ask = peers.send

        def ask_then_run_elsewhere(to, path, message, timeout_s):
            answer = ask(to, path, message, timeout_s)
            if path == "/peer/claims/witness" and not sent:
                fleet.links[1].is_out = False
                sent.append(threads.submit(run, fleet.desks[1], service, key))
                time.sleep(0.5)
            return answer

        peers.send = ask_then_run_elsewhere
        refusal = run(fleet.desks[0], service, key, timeout_s=SHORT_S).unwrap_err()
        assert refusal.ran is Ran.NO
        assert service.runs[key] == 0
        assert sent[0].result(TIMEOUT_S).is_ok()
        assert service.runs[key] == 1


def assert_key_is_held(fleet, service, key):
    repeat = run(fleet.desks[1], service, key).unwrap_err()
    assert isinstance(repeat, UnknownOutcome) and repeat.ran is Ran.MAYBE and repeat.retry_after_s
    assert service.runs[key] == 0


@pytest.mark.parametrize(
    "outcome",
    [NotExecuted(UpstreamFailed("no connection", Ran.NO)), RefusedByUpstream("busy")],
    ids=["not sent", "refused"],
)
def test_key_does_not_run_between_its_release_and_the_refusal(service, outcome):
    """A request at another entry runs the key as soon as it is free."""
    key, to_do = build_key(), []
    with Fleet(2) as fleet:
        claims = ActsAfterRelease(fleet.links[0], fleet.peers[0], fleet.settings)
        claims.act = lambda: run(fleet.desks[1], service, key)
        desk = PostingExecutor(fleet.links[0], fleet.peers[0], fleet.settings, claims)
        posting = build_posting(key, after_response=to_do.append)
        refusal = desk.run_once(posting, service.dispatch("other", outcome)).unwrap_err()
        assert refusal.ran is Ran.NO and refusal.retry_after_s
        assert_key_is_held(fleet, service, key)
        assert desk.has_unfinished()
        to_do.pop()()
        assert service.runs[key] == 1
        assert not to_do and not desk.has_unfinished()


def test_key_whose_deadline_passed_does_not_run_before_the_refusal_is_written(service):
    key, to_do = build_key(), []
    with Fleet(2) as fleet:
        paused = PausedAfterClaim(fleet.links[0], fleet.peers[0], fleet.settings)
        desk = PostingExecutor(fleet.links[0], fleet.peers[0], fleet.settings, paused)
        late = run(desk, service, key, timeout_s=1.0, after_response=to_do.append).unwrap_err()
        assert isinstance(late, DeadlineUnreachable) and late.ran is Ran.NO
        assert_key_is_held(fleet, service, key)
        to_do.pop()()
        assert run(fleet.desks[1], service, key).is_ok()


def test_uncertain_claim_is_not_released_before_the_refusal_is_written(service):
    key, to_do = build_key(), []
    with Fleet(2) as fleet:
        fleet.isolate_views()
        first = fleet.links[0]
        assert run(fleet.desks[0], service, build_key()).is_ok()
        first.is_holding_next_write = True
        posting = {"timeout_s": SHORT_S, "is_first_attempt": True, "after_response": to_do.append}
        refusal = run(fleet.desks[0], service, key, **posting).unwrap_err()
        assert isinstance(refusal, PlatformUnavailable) and refusal.ran is Ran.NO
        assert isinstance(first.land_held_write(), Ok)
        first.is_out = False
        assert not fleet.desks[0].close(SHORT_S)
        assert_key_is_held(fleet, service, key)
        to_do.pop()()
        assert fleet.desks[0].close(TIMEOUT_S)
        assert run(fleet.desks[1], service, key).is_ok()


def restart(fleet, number):
    """Give the desk of a new run of an entry, which remembers nothing."""
    return PostingExecutor(fleet.links[number], fleet.peers[number], fleet.settings)


@pytest.mark.parametrize("is_timed", [True, False])
def test_key_that_an_earlier_run_of_an_entry_may_have_sent_is_not_excluded(service, is_timed):
    """The caller's clock is ahead, or the key carries no time."""
    key = build_key(age_s=-30.0) if is_timed else "weight-17"
    with Fleet(1, clock_skew_s=60.0) as fleet:
        assert run(fleet.desks[0], service, key).is_ok()
        desk = restart(fleet, 0)
        fleet.links[0].is_out = True
        refusal = run(desk, service, key, timeout_s=SHORT_S).unwrap_err()
        assert isinstance(refusal, PlatformUnavailable) and refusal.ran is Ran.MAYBE


def test_key_that_ran_at_an_entry_not_known_here_yet_is_not_excluded(service):
    with Fleet(3, owner_timeout_s=0.1) as fleet:
        key = build_key()
        asking, _, joined = fleet.peers
        asking.all_live = fleet.members[:2]
        joined.all_live = [joined.this_entry()]
        assert run(fleet.desks[2], service, key).is_ok()
        for link in fleet.links:
            link.is_out = True
        refusal = run(fleet.desks[0], service, key, timeout_s=SHORT_S).unwrap_err()
        assert refusal.ran is Ran.MAYBE


def test_claim_that_came_second_and_lands_late_does_not_close_the_key(service):
    """The owner is slow: it appends the claim of an answered request once the key is free."""
    with Fleet(2) as fleet:
        key = build_key()
        while (
            choose_owner(locate(build_posting(key), fleet.settings).shard, tuple(fleet.members)).id
            != "entry-1"
        ):
            key = build_key()
        peers, held = fleet.peers[0], []
        send = peers.send

        def hold_first(*arguments):
            if held:
                return send(*arguments)
            held.append(arguments)
            return Err(TransportTimeout("too slow", was_sent=True))

        def come_second():
            second = run(fleet.desks[0], service, key).unwrap_err()
            assert isinstance(second, UnknownOutcome)

        peers.send = hold_first
        refusing = service.dispatch("other", RefusedByUpstream("busy"), before=come_second)
        refused = fleet.desks[1].run_once(build_posting(key), refusing).unwrap_err()
        assert isinstance(refused, Overloaded)
        assert fleet.desks[0].close(TIMEOUT_S)
        assert send(*held[0]).is_ok()
        assert run(fleet.desks[1], service, key).is_ok()
    assert service.runs[key] == 1

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


def run(executor, service, key, **posting):
    return executor.run_once(build_posting(key, **posting), service.dispatch(key))


def test_duplicate_at_every_entry_gets_the_recorded_answer(service):
    key = build_key()
    with Fleet(3) as fleet:
        answers = [run(executor, service, key) for executor in fleet.executors + fleet.executors]
    assert [each.unwrap().body for each in answers] == [b'{"run": 1}'] * 6
    assert service.runs[key] == 1


def test_outage_before_the_claim_is_refused_as_not_run_and_the_key_stays_usable(service):
    with Fleet(2, owner_timeout_s=0.1) as fleet:
        key = build_key()
        for client in fleet.clients:
            client.is_unreachable = True
        refusal = run(fleet.executors[0], service, key, timeout_s=SHORT_S).unwrap_err()
        assert isinstance(refusal, PlatformUnavailable) and refusal.ran is Ran.NO
        assert service.runs[key] == 0
        for client in fleet.clients:
            client.is_unreachable = False
        assert all(executor.close(TIMEOUT_S) for executor in fleet.executors)
        assert run(fleet.executors[1], service, key).is_ok()
    assert service.runs[key] == 1


def test_lost_reply_to_a_claim_write_is_resolved_by_reading_back(service):
    key = build_key()
    with Fleet(1) as fleet:
        fleet.clients[0].lost_reply_count = 1
        assert run(fleet.executors[0], service, key).is_ok()
        assert run(fleet.executors[0], service, key).unwrap().body == b'{"run": 1}'
    assert service.runs[key] == 1


def test_claim_appended_after_the_refusal_is_revoked(service):
    with Fleet(2) as fleet:
        key = build_key()
        fleet.isolate_members()
        first = fleet.clients[0]
        assert run(fleet.executors[0], service, build_key()).is_ok()
        first.delays_next_write = True
        refusal = run(fleet.executors[0], service, key, timeout_s=SHORT_S).unwrap_err()
        assert isinstance(refusal, PlatformUnavailable) and refusal.ran is Ran.NO
        assert isinstance(first.apply_delayed_write(), Ok)
        duplicate = run(fleet.executors[1], service, key).unwrap_err()
        assert isinstance(duplicate, UnknownOutcome) and duplicate.retry_after_s
        first.is_unreachable = False
        assert fleet.executors[0].close(TIMEOUT_S)
        assert run(fleet.executors[1], service, key).is_ok()
    assert service.runs[key] == 1


def test_entries_with_conflicting_shard_ownership_run_a_key_once(service):
    keys = [build_key() for _ in range(20)]
    with Fleet(4, head_bytes_max=1024, shard_count=2) as fleet, ThreadPoolExecutor(40) as pool:
        fleet.isolate_members()
        calls = [(executor, key) for key in keys for executor in fleet.executors]
        list(pool.map(lambda call: run(call[0], service, call[1]), calls))
        again = [run(executor, service, key) for executor, key in calls]
    assert [service.runs[key] for key in keys] == [1] * len(keys)
    assert all(each.unwrap().body == b'{"run": 1}' for each in again)


def test_paused_holder_keeps_its_claim(service):
    key = build_key()
    paused, resume = threading.Event(), threading.Event()

    def pause():
        paused.set()
        assert resume.wait(TIMEOUT_S)

    with Fleet(2, running_s=0.01) as fleet, ThreadPoolExecutor(1) as pool:
        delayed = pool.submit(
            fleet.executors[0].run_once, build_posting(key), service.dispatch(key, before=pause)
        )
        assert paused.wait(TIMEOUT_S)
        duplicate = run(fleet.executors[1], service, key).unwrap_err()
        assert isinstance(duplicate, UnknownOutcome) and duplicate.ran is Ran.MAYBE
        resume.set()
        assert delayed.result(TIMEOUT_S).is_ok()
        assert run(fleet.executors[1], service, key).is_ok()
    assert service.runs[key] == 1


def test_answer_is_returned_in_an_outage_and_recorded_after_it(service):
    key = build_key()
    with Fleet(2, record_timeout_s=0.2, owner_timeout_s=0.1) as fleet:
        fleet.isolate_members()
        client = fleet.clients[0]
        start_outage = service.dispatch(key, before=lambda: setattr(client, "is_unreachable", True))
        assert fleet.executors[0].run_once(build_posting(key), start_outage).is_ok()
        assert fleet.executors[0].has_unfinished()
        assert isinstance(run(fleet.executors[1], service, key).unwrap_err(), UnknownOutcome)
        client.is_unreachable = False
        assert fleet.executors[0].close(TIMEOUT_S)
        assert run(fleet.executors[1], service, key).unwrap().body == b'{"run": 1}'
    assert service.runs[key] == 1


def test_refusal_by_the_upstream_releases_the_key(service):
    key = build_key()
    with Fleet(2) as fleet:
        refusing = service.dispatch("other", outcome=RefusedByUpstream("busy", 2.0))
        refusal = fleet.executors[0].run_once(build_posting(key), refusing).unwrap_err()
        assert (type(refusal), refusal.ran, refusal.retry_after_s) == (Overloaded, Ran.NO, 2.0)
        assert run(fleet.executors[1], service, key).is_ok()


def test_lost_answer_is_unknown_for_duplicates(service):
    key = build_key()
    with Fleet(2) as fleet:
        losing = service.dispatch(key, outcome=IndeterminateOutcome("late"))
        first = fleet.executors[0].run_once(build_posting(key), losing)
        for each in (first, run(fleet.executors[1], service, key)):
            assert each == Err(UnknownOutcome(each.unwrap_err().message, Ran.MAYBE))
    assert service.runs[key] == 1


def test_exception_in_dispatch_counts_as_maybe_run(service):
    key = build_key()

    def fail(_token):
        raise RuntimeError("bug")

    with Fleet(1) as fleet:
        refusal = fleet.executors[0].run_once(build_posting(key), fail).unwrap_err()
        assert isinstance(refusal, UnknownOutcome)
        assert run(fleet.executors[0], service, key).is_err()


def test_key_with_another_body_is_refused(service):
    key = build_key()
    with Fleet(1) as fleet:
        assert run(fleet.executors[0], service, key).is_ok()
        reused = run(fleet.executors[0], service, key, body=b'{"kg": 2}').unwrap_err()
    assert isinstance(reused, IdempotencyKeyReused) and service.runs[key] == 1
    assert reused.ran is Ran.YES


def test_claimed_key_with_another_body_is_not_reported_as_not_run(service):
    """A request with a different body can run once the holder releases the key."""
    key, reused = build_key(), []
    with Fleet(2) as fleet:

        def reuse():
            answer = run(fleet.executors[1], service, key, body=b'{"kg": 2}')
            reused.append(answer.unwrap_err())

        refusing = service.dispatch("other", RefusedByUpstream("busy"), before=reuse)
        assert fleet.executors[0].run_once(build_posting(key), refusing).unwrap_err().ran is Ran.NO
        assert isinstance(reused[0], IdempotencyKeyReused) and reused[0].ran is Ran.MAYBE
        assert run(fleet.executors[1], service, key, body=b'{"kg": 2}').is_ok()


def test_key_older_than_the_horizon_is_not_reported_as_not_run(service):
    with Fleet(1, horizon_s=600.0) as fleet:
        old = run(fleet.executors[0], service, build_key(age_s=700)).unwrap_err()
        future = run(fleet.executors[0], service, build_key(age_s=-700)).unwrap_err()
    for each in (old, future):
        assert isinstance(each, RequestTooOld) and each.ran is Ran.MAYBE


def test_untimed_keys_are_bounded_and_kept(service):
    with Fleet(2, untimed_keys_max=3, shard_count=1) as fleet:
        assert all(run(fleet.executors[0], service, f"key-{n}").is_ok() for n in range(3))
        full = run(fleet.executors[0], service, "key-3").unwrap_err()
        assert isinstance(full, UntimedKeysFull) and full.ran is Ran.NO
        assert run(fleet.executors[0], service, "key-0").is_ok()
        fleet.isolate_members()
        assert all(run(fleet.executors[1], service, f"key-{n}").is_ok() for n in range(3))
    assert service.runs == {f"key-{n}": 1 for n in range(3)}


def test_answer_too_large_to_store_is_reported_as_run(service):
    key = build_key()
    large = UpstreamResponse(200, "text/plain", b"x" * 100)
    with Fleet(1, answer_bytes_max=10) as fleet:
        first = fleet.executors[0].run_once(build_posting(key), service.dispatch(key, large))
        assert first.unwrap().body == large.body
        duplicate = run(fleet.executors[0], service, key).unwrap_err()
    assert isinstance(duplicate, AnswerNotKept) and duplicate.ran is Ran.YES


def test_dead_owner_is_bypassed(service):
    with Fleet(2, owner_timeout_s=0.2) as fleet:
        fleet.servers[1].stop()
        postings = [build_posting() for _ in range(40)]
        shards = {each.key: locate(each, fleet.settings).shard for each in postings}
        owners = {key: choose_owner(shards[key], tuple(fleet.members)).id for key in shards}
        orphaned = [key for key, owner in owners.items() if owner == "entry-1"]
        assert orphaned
        assert all(run(fleet.executors[0], service, key).is_ok() for key in orphaned)


def test_deadline_that_passes_after_the_claim_releases_the_key(service):
    with Fleet(1) as fleet:
        key = build_key()
        paused = PausedAfterClaim(fleet.clients[0], fleet.peers[0], fleet.settings)
        executor = PostingExecutor(fleet.clients[0], fleet.peers[0], fleet.settings, paused)
        late = run(executor, service, key, timeout_s=1.0).unwrap_err()
        assert isinstance(late, DeadlineUnreachable) and late.ran is Ran.NO
        assert service.runs[key] == 0
        assert run(fleet.executors[0], service, key).is_ok()


def test_one_write_carries_many_records(service):
    keys = [build_key() for _ in range(40)]
    with Fleet(1, shard_count=1, write_interval_s=0.1) as fleet, ThreadPoolExecutor(40) as pool:
        list(pool.map(lambda key: run(fleet.executors[0], service, key), keys))
        assert fleet.clients[0].write_count < len(keys)
    assert all(service.runs[key] == 1 for key in keys)


def test_duplicate_in_an_outage_is_not_reported_as_not_run_at_any_entry(service):
    key = build_key()
    with Fleet(3, owner_timeout_s=0.1) as fleet:
        assert run(fleet.executors[0], service, key).is_ok()
        for client in fleet.clients:
            client.is_unreachable = True
        outcomes = [run(executor, service, key, timeout_s=SHORT_S) for executor in fleet.executors]
        fresh = run(fleet.executors[2], service, build_key(), timeout_s=SHORT_S).unwrap_err()
        fleet.servers[0].stop()
        fresh_with_an_entry_silent = run(
            fleet.executors[2], service, build_key(), timeout_s=SHORT_S
        ).unwrap_err()
    assert all(each.is_ok() or each.unwrap_err().ran is Ran.MAYBE for each in outcomes)
    assert fresh.ran is Ran.NO
    assert fresh_with_an_entry_silent.ran is Ran.MAYBE


def test_run_by_an_entry_that_disappeared_is_not_ruled_out_in_an_outage(service):
    with Fleet(2, owner_timeout_s=0.1, clock_skew_s=0.0) as fleet:
        assert run(fleet.executors[1], service, build_key()).is_ok()
        fleet.isolate_members()
        assert run(fleet.executors[1], service, build_key()).is_ok()
        key, untimed = build_key(), "weight-17"
        assert run(fleet.executors[0], service, key).is_ok()
        assert run(fleet.executors[0], service, untimed).is_ok()
        fleet.clients[1].is_unreachable = True
        refusals = [
            run(fleet.executors[1], service, each, timeout_s=SHORT_S).unwrap_err()
            for each in (key, untimed)
        ]
        assert [each.ran for each in refusals] == [Ran.MAYBE] * 2
        first = run(
            fleet.executors[1], service, build_key(), timeout_s=SHORT_S, is_first_attempt=True
        ).unwrap_err()
        assert first.ran is Ran.NO


def test_entry_with_a_different_layout_uses_the_shared_one(service):
    key = build_key()
    with Fleet(2, shard_count=4, bucket_s=60) as fleet:
        assert run(fleet.executors[0], service, key).is_ok()
        other = build_settings(shard_count=8, bucket_s=30)
        changed = PostingExecutor(fleet.clients[1], fleet.peers[1], other)
        assert run(changed, service, key).unwrap().body == b'{"run": 1}'
    assert service.runs[key] == 1


def test_key_does_not_run_between_a_peer_confirmation_and_the_refusal(service):
    """A request with the same key starts at an entry that has just ruled out earlier runs."""
    with Fleet(2, owner_timeout_s=0.1) as fleet, ThreadPoolExecutor(1) as threads:
        assert all(run(executor, service, build_key()).is_ok() for executor in fleet.executors)
        key = build_key()
        for client in fleet.clients:
            client.is_unreachable = True
        peers, sent = fleet.peers[0], []
        send = peers.send

        def send_then_run_elsewhere(to, path, message, timeout_s):
            answer = send(to, path, message, timeout_s)
            if path == "/peer/claims/witness" and not sent:
                fleet.clients[1].is_unreachable = False
                sent.append(threads.submit(run, fleet.executors[1], service, key))
                time.sleep(0.5)
            return answer

        peers.send = send_then_run_elsewhere
        refusal = run(fleet.executors[0], service, key, timeout_s=SHORT_S).unwrap_err()
        assert refusal.ran is Ran.NO
        assert service.runs[key] == 0
        assert sent[0].result(TIMEOUT_S).is_ok()
        assert service.runs[key] == 1


def assert_key_is_held(fleet, service, key):
    duplicate = run(fleet.executors[1], service, key).unwrap_err()
    assert (
        isinstance(duplicate, UnknownOutcome)
        and duplicate.ran is Ran.MAYBE
        and duplicate.retry_after_s
    )
    assert service.runs[key] == 0


@pytest.mark.parametrize(
    "outcome",
    [NotExecuted(UpstreamFailed("no connection", Ran.NO)), RefusedByUpstream("busy")],
    ids=["not sent", "refused"],
)
def test_key_does_not_run_between_its_release_and_the_refusal(service, outcome):
    """A request at another entry would run the key as soon as it is released."""
    key, callbacks = build_key(), []
    with Fleet(2) as fleet:
        claims = ActsAfterRelease(fleet.clients[0], fleet.peers[0], fleet.settings)
        claims.act = lambda: run(fleet.executors[1], service, key)
        executor = PostingExecutor(fleet.clients[0], fleet.peers[0], fleet.settings, claims)
        posting = build_posting(key, after_response=callbacks.append)
        refusal = executor.run_once(posting, service.dispatch("other", outcome)).unwrap_err()
        assert refusal.ran is Ran.NO and refusal.retry_after_s
        assert_key_is_held(fleet, service, key)
        assert executor.has_unfinished()
        callbacks.pop()()
        assert service.runs[key] == 1
        assert not callbacks and not executor.has_unfinished()


def test_key_whose_deadline_passed_does_not_run_before_the_refusal_is_written(service):
    key, callbacks = build_key(), []
    with Fleet(2) as fleet:
        paused = PausedAfterClaim(fleet.clients[0], fleet.peers[0], fleet.settings)
        executor = PostingExecutor(fleet.clients[0], fleet.peers[0], fleet.settings, paused)
        late = run(
            executor, service, key, timeout_s=1.0, after_response=callbacks.append
        ).unwrap_err()
        assert isinstance(late, DeadlineUnreachable) and late.ran is Ran.NO
        assert_key_is_held(fleet, service, key)
        callbacks.pop()()
        assert run(fleet.executors[1], service, key).is_ok()


def test_uncertain_claim_is_not_released_before_the_refusal_is_written(service):
    key, callbacks = build_key(), []
    with Fleet(2) as fleet:
        fleet.isolate_members()
        first = fleet.clients[0]
        assert run(fleet.executors[0], service, build_key()).is_ok()
        first.delays_next_write = True
        posting = {
            "timeout_s": SHORT_S,
            "is_first_attempt": True,
            "after_response": callbacks.append,
        }
        refusal = run(fleet.executors[0], service, key, **posting).unwrap_err()
        assert isinstance(refusal, PlatformUnavailable) and refusal.ran is Ran.NO
        assert isinstance(first.apply_delayed_write(), Ok)
        first.is_unreachable = False
        assert not fleet.executors[0].close(SHORT_S)
        assert_key_is_held(fleet, service, key)
        callbacks.pop()()
        assert fleet.executors[0].close(TIMEOUT_S)
        assert run(fleet.executors[1], service, key).is_ok()


def restarted_executor(fleet, number):
    """Return the executor of a restarted entry, which has no recorded runs."""
    return PostingExecutor(fleet.clients[number], fleet.peers[number], fleet.settings)


@pytest.mark.parametrize("is_timed", [True, False])
def test_run_by_an_earlier_incarnation_of_an_entry_is_not_ruled_out(service, is_timed):
    """The caller's clock is ahead, or the key has no creation time."""
    key = build_key(age_s=-30.0) if is_timed else "weight-17"
    with Fleet(1, clock_skew_s=60.0) as fleet:
        assert run(fleet.executors[0], service, key).is_ok()
        executor = restarted_executor(fleet, 0)
        fleet.clients[0].is_unreachable = True
        refusal = run(executor, service, key, timeout_s=SHORT_S).unwrap_err()
        assert isinstance(refusal, PlatformUnavailable) and refusal.ran is Ran.MAYBE


def test_run_at_an_entry_that_is_not_a_known_member_is_not_ruled_out(service):
    with Fleet(3, owner_timeout_s=0.1) as fleet:
        key = build_key()
        asking, _, joined = fleet.peers
        asking.all_live = fleet.members[:2]
        joined.all_live = [joined.this_entry()]
        assert run(fleet.executors[2], service, key).is_ok()
        for client in fleet.clients:
            client.is_unreachable = True
        refusal = run(fleet.executors[0], service, key, timeout_s=SHORT_S).unwrap_err()
        assert refusal.ran is Ran.MAYBE


def test_losing_claim_appended_late_does_not_claim_the_released_key(service):
    """A slow owner appends the losing claim after its request has ended and the key is released."""
    with Fleet(2) as fleet:
        key = build_key()
        while (
            choose_owner(locate(build_posting(key), fleet.settings).shard, tuple(fleet.members)).id
            != "entry-1"
        ):
            key = build_key()
        peers, delayed = fleet.peers[0], []
        send = peers.send

        def delay_first(*arguments):
            if delayed:
                return send(*arguments)
            delayed.append(arguments)
            return Err(TransportTimeout("too slow", was_sent=True))

        def submit_losing_request():
            second = run(fleet.executors[0], service, key).unwrap_err()
            assert isinstance(second, UnknownOutcome)

        peers.send = delay_first
        refusing = service.dispatch(
            "other", RefusedByUpstream("busy"), before=submit_losing_request
        )
        refused = fleet.executors[1].run_once(build_posting(key), refusing).unwrap_err()
        assert isinstance(refused, Overloaded)
        assert fleet.executors[0].close(TIMEOUT_S)
        assert send(*delayed[0]).is_ok()
        assert run(fleet.executors[1], service, key).is_ok()
    assert service.runs[key] == 1

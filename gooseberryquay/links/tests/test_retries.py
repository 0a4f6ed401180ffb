"""Retries of requests, with upstreams that fail as scripted."""

import time

import pytest
from result import Err, Ok

from gooseberryquay.contracts import Address
from gooseberryquay.contracts.service import RepeatPolicy
from gooseberryquay.contracts.settings import LimitSettings
from gooseberryquay.errors import Overloaded, Ran, UpstreamFailed
from gooseberryquay.links.dispatch_outcome import (
    IndeterminateOutcome,
    NotExecuted,
    RefusedByUpstream,
)
from gooseberryquay.links.engine_client import EngineRefusal, GenerationUnknown
from gooseberryquay.links.generation_relay import GenerationRelay
from gooseberryquay.links.service_caller import ServiceCaller
from gooseberryquay.links.service_client import ServiceCall, ServiceClient
from gooseberryquay.machines.retry_budget import RetryBudget
from gooseberryquay.machines.tests.choice_builders import build_upstream, build_work
from gooseberryquay.standins.process import find_free_port
from gooseberryquay.standins.service import ServiceSettings, ServiceStandIn
from gooseberryquay.standins.service_messages import BreakAfterRun

REFUSED = Err(EngineRefusal(503, None, is_not_executed=True))
LOST = Err(GenerationUnknown())
LOOKUP = ServiceCall("find-lot", "request-1", b"{}", RepeatPolicy.ALLOWED, 10.0)


class StubPlacement:
    priority = 0

    def __init__(self, number):
        self.upstream = build_upstream(number)

    def finish(self, outcome):
        pass


class LimitedDispatcher:
    """Place a limited number of requests, then reject them."""

    def __init__(self, count):
        self._count = count
        self.placed = 0

    def place(self, work):
        if self.placed == self._count:
            return Err(Overloaded("full", retry_after_s=1.0))
        self.placed += 1
        return Ok(StubPlacement(self.placed))

    def upstream_died(self, upstream, work):
        pass

    def ended(self, work, outcome):
        pass


class ScriptedEngine:
    def __init__(self, *starts):
        self._starts = list(starts)

    def start(self, *_arguments):
        return self._starts.pop(0)

    def cancel(self, generation):
        pass


class EmptySink:
    def restart(self):
        return True


def _generate(dispatcher, *starts, ratio=1.0):
    engine = ScriptedEngine(*starts)
    relay = GenerationRelay(dispatcher, lambda _: engine, LimitSettings(), RetryBudget(ratio))
    return relay.generate(build_work(), "/v1/completions", b"", EmptySink()).unwrap_err()


def _send(dispatcher, *outcomes):
    class ScriptedClient:
        def __init__(self):
            self.outcomes = list(outcomes)

        def send(self, call, may_send_again):
            return self.outcomes.pop(0)

    client = ScriptedClient()
    return ServiceCaller(dispatcher, lambda _: client, RetryBudget(1.0)).send(build_work(), LOOKUP)


@pytest.mark.parametrize("placement_count", [1, 2])
def test_generation_that_may_have_run_is_not_reported_as_not_run_after_a_refused_retry(
    placement_count,
):
    failure = _generate(LimitedDispatcher(placement_count), LOST, REFUSED)
    assert failure.ran is Ran.MAYBE
    assert failure.retry_after_s == 1.0


def test_generation_that_every_engine_refused_did_not_run():
    failure = _generate(LimitedDispatcher(2), REFUSED, REFUSED)
    assert (failure.type, failure.ran) == ("overloaded", Ran.NO)
    failure = _generate(LimitedDispatcher(4), *[REFUSED] * 4)
    assert (failure.type, failure.ran) == ("upstream_failed", Ran.NO)


@pytest.mark.parametrize(
    "again", [RefusedByUpstream("busy"), NotExecuted(UpstreamFailed("no connection"))]
)
def test_lookup_that_may_have_run_is_not_reported_as_not_run_after_a_refused_retry(again):
    assert isinstance(
        _send(LimitedDispatcher(2), IndeterminateOutcome("broke off"), again), IndeterminateOutcome
    )
    assert isinstance(_send(LimitedDispatcher(2), again, again), NotExecuted)


@pytest.fixture
def service():
    running = ServiceStandIn(ServiceSettings(0.0))
    running.start()
    yield running
    running.stop()


def _lookups(service, count, ratio):
    client = ServiceClient(Address("127.0.0.1", service.port))
    caller = ServiceCaller(LimitedDispatcher(4 * count), lambda _: client, RetryBudget(ratio))
    return [caller.send(build_work(), LOOKUP) for _ in range(count)]


def test_retries_of_lookups_in_a_brownout_stay_within_the_budget(service):
    service.apply_fault(BreakAfterRun(count=1000))
    _lookups(service, 100, ratio=0.1)
    assert service.counts().arrivals <= 120


def test_lookup_is_retried_after_one_broken_connection(service):
    service.apply_fault(BreakAfterRun(count=1))
    (outcome,) = _lookups(service, 1, ratio=0.1)
    assert outcome.status == 200


def test_refused_connection_sets_retry_after():
    client = ServiceClient(Address("127.0.0.1", find_free_port()))
    outcome = client.send(LOOKUP)
    assert isinstance(outcome, NotExecuted)
    assert outcome.failure.retry_after_s > 0


def test_deadline_bounds_retries():
    work = build_work(deadline_at_s=time.monotonic() - 1.0)

    class RefusingClient:
        def send(self, call, may_send_again):
            return RefusedByUpstream("busy")

    dispatcher = LimitedDispatcher(4)
    ServiceCaller(dispatcher, lambda _: RefusingClient(), RetryBudget(1.0)).send(work, LOOKUP)
    assert dispatcher.placed == 1

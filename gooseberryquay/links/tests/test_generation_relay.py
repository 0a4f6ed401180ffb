import socket
import threading
from contextlib import contextmanager, suppress
from itertools import chain, repeat

import pytest
from result import Err, Ok

from gooseberryquay.contracts.fields import Address
from gooseberryquay.contracts.settings import LimitSettings
from gooseberryquay.errors import Overloaded, Ran
from gooseberryquay.links.engine_client import EngineClient
from gooseberryquay.links.generation_relay import GenerationRelay
from gooseberryquay.links.tests.builders import (
    EmptySink,
    RecordingPlacement,
    ScriptedDispatcher,
)
from gooseberryquay.machines.retry_budget import RetryBudget
from gooseberryquay.machines.tests.choice_builders import build_upstream, build_work
from gooseberryquay.machines.work import Outcome
from gooseberryquay.standins.process import find_free_port

OVERLOADED = Err(Overloaded("no upstream may get this request", retry_after_s=1.0))
FAILED = b"HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n"
UNAVAILABLE = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"


@contextmanager
def _engine(*answers):
    """Respond once per connection with the next answer, then repeat the last one."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve():
        with suppress(OSError):
            for answer in chain(answers, repeat(answers[-1])):
                connection = listener.accept()[0]
                connection.recv(65536)
                connection.sendall(answer)
                connection.close()

    threading.Thread(target=serve, daemon=True).start()
    yield Address(*listener.getsockname())
    listener.close()


def _generate(results):
    clients = {}
    for placed in [each.unwrap() for each in results if each.is_ok()]:
        clients[placed.upstream.id] = EngineClient(placed.upstream)
    dispatcher = ScriptedDispatcher(list(results))
    relay = GenerationRelay(dispatcher, clients.get, LimitSettings(), RetryBudget(1.0))
    return relay.generate(build_work(), "/v1/completions", b"{}", EmptySink()), dispatcher


def _place_at(number, address):
    return Ok(RecordingPlacement(build_upstream(number, address=address)))


def test_request_that_never_reached_a_crashed_upstream_is_no_suspect_and_has_not_run():
    closed = Address("127.0.0.1", find_free_port())
    result, dispatcher = _generate([_place_at(1, closed), OVERLOADED])
    assert dispatcher.crashed == []
    assert dispatcher.placed[0].outcome is Outcome.UNREACHABLE
    assert result.unwrap_err().ran is Ran.NO


def test_refusal_after_an_interrupted_attempt_does_not_say_not_run():
    with _engine(b"") as address:
        result, dispatcher = _generate([_place_at(1, address), OVERLOADED])
    assert dispatcher.crashed == ["engine-1"]
    assert result.unwrap_err().ran is Ran.MAYBE


def test_last_attempt_refused_by_its_upstream_does_not_say_not_run_after_an_interrupted_one():
    with _engine(b"") as broken, _engine(UNAVAILABLE) as busy:
        places = [_place_at(1, broken)] + [_place_at(number, busy) for number in (2, 3, 4)]
        result, _ = _generate(places)
    assert result.unwrap_err().ran is Ran.MAYBE


def test_request_refused_by_every_upstream_has_not_run():
    with _engine(UNAVAILABLE) as busy:
        result, _ = _generate([_place_at(number, busy) for number in (1, 2, 3, 4)])
    assert result.unwrap_err().ran is Ran.NO


def test_request_that_failed_within_its_upstream_may_have_run():
    with _engine(FAILED) as failing:
        result, dispatcher = _generate([_place_at(1, failing), OVERLOADED])
    assert dispatcher.placed[0].outcome is Outcome.BROKEN
    assert result.unwrap_err().ran is Ran.MAYBE


@pytest.mark.parametrize("length", range(1, len(UNAVAILABLE)))
def test_refusal_that_ends_within_its_head_does_not_say_not_run(length):
    with _engine(UNAVAILABLE[:length], b"") as address:
        result, _ = _generate([_place_at(1, address), OVERLOADED])
    assert result.unwrap_err().ran is Ran.MAYBE


@pytest.mark.parametrize(
    "status", [400, 401, 403, 404, 405, 408, 409, 411, 413, 415, 421, 422, 429, 500, 502, 504]
)
def test_status_that_is_no_proof_does_not_say_not_run(status):
    answer = f"HTTP/1.1 {status} Failed\r\nContent-Length: 0\r\n\r\n".encode()
    with _engine(answer) as address:
        result, dispatcher = _generate([_place_at(1, address), OVERLOADED])
    assert dispatcher.placed[0].outcome is Outcome.BROKEN
    assert result.unwrap_err().ran is Ran.MAYBE


def test_refusal_of_another_request_does_not_say_not_run():
    crossed = UNAVAILABLE.replace(b"\r\n\r\n", b"\r\nX-Request-Id: engine-1~w~other\r\n\r\n")
    with _engine(crossed) as address:
        result, _ = _generate([_place_at(1, address), OVERLOADED])
    assert result.unwrap_err().ran is Ran.MAYBE


def test_generation_whose_resume_is_refused_may_have_run():
    with _engine(b"", UNAVAILABLE) as address:
        result, dispatcher = _generate([_place_at(1, address), OVERLOADED])
    assert dispatcher.placed[0].outcome is Outcome.BROKEN
    assert result.unwrap_err().ran is Ran.MAYBE

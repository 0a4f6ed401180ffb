import pytest

from gooseberryquay.ids import WorkspaceId
from gooseberryquay.serving.fingerprint import fingerprint_of
from gooseberryquay.serving.tests.builders import build_call

STUDIO, YARD = WorkspaceId("studio"), WorkspaceId("yard")


def test_repeat_with_another_id_deadline_and_headers_has_the_same_fingerprint():
    first = build_call(id="r-1", deadline_at_s=1.0, headers=(("x-trace", "1"),))
    second = build_call(id="r-2", deadline_at_s=9.0, headers=(("x-trace", "2"),))
    assert fingerprint_of(first, STUDIO) == fingerprint_of(second, STUDIO)


@pytest.mark.parametrize(
    "changes",
    [{"method": "PUT"}, {"host": "b.example"}, {"target": "/x/1?all"}, {"body": b"{ }"}],
)
def test_different_request_has_a_different_fingerprint(changes):
    first, second = build_call(), build_call(**changes)
    assert fingerprint_of(first, STUDIO) != fingerprint_of(second, STUDIO)


def test_same_request_of_another_workspace_has_a_different_fingerprint():
    assert fingerprint_of(build_call(), STUDIO) != fingerprint_of(build_call(), YARD)
    assert fingerprint_of(build_call(), STUDIO) != fingerprint_of(build_call(), None)

"""Planned stop of one entry, with requests that go on coming until its process is gone."""

import random
import signal
import socket
import time

import pytest

from gooseberryquay.daemons.tests.platform_builders import running_entries
from gooseberryquay.links.tests.raw_caller import RawCallers
from gooseberryquay.standins.node_platform.site import HOST, KEY, Site

GRACE_S = 4.0
BEFORE_STOP_S = 1.0
# Callers that stop later would find the port closed anyway.
EXIT_SLACK_S = 1.0
# A request may cross the close of its connection, but not wait this long for its end.
CROSSING_S = 0.2
PROMISES = {408, 421, 429, 503}
# Four times the latency goal of these routes, and within their timeout of 2 s.
LONG_WORK_S = 1.2
SHORT_WORK_S = 0.02
# After the notice to the balancer, when an idle entry exits.
LATE_BODY_S = 2.8
EVENTS = 20
EVENT_S = 0.04


@pytest.fixture
def site():
    site = Site(random.Random(1))
    site.start(engines=4, services=4)
    for each in site.engines.values():
        each.event_s = EVENT_S
    yield site
    site.stop()


def _encoder(kind):
    def encode(id):
        lines = [
            f"POST /{kind}/{id} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Attempt-Id: {kind}-{id}",
            "X-Deadline-Ms: 10000",
            f"Authorization: Bearer {KEY}",
            "X-Model: m",
            f"X-Token-Usage: 100,{EVENTS * 4}",
            "Content-Length: 2",
        ]
        return ("\r\n".join(lines) + "\r\n\r\n{}").encode()

    encode.kind = kind
    return encode


def _stop_under_load(site, folder, kinds, is_keeping, work_s):
    """Send SIGTERM to one of three entries; return its callers, and when it exited."""
    for each in site.services.values():
        each.work_s = work_s
    with running_entries(site, folder, 3) as entries:
        encoders = [_encoder(kind) for kind in kinds]
        callers = RawCallers(entries[0].ports.callers, encoders, is_keeping, count=12)
        callers.start()
        time.sleep(BEFORE_STOP_S)
        stopped_at_s = time.monotonic()
        entries[0].process.send_signal(signal.SIGTERM)
        assert entries[0].process.wait(GRACE_S + EXIT_SLACK_S) == 0
        took_s = time.monotonic() - stopped_at_s
        callers.join()
    return callers, took_s


def _kind_of(callers, sent):
    number = int(sent.id.partition("-")[0].removeprefix("c"))
    return callers.encoders[number % len(callers.encoders)].kind


def _runs(site, callers, sent):
    return site.record.runs_of(f"{_kind_of(callers, sent)}-{sent.id}")


def _check(site, callers, took_s):
    assert took_s < GRACE_S
    assert len(callers.sent) > 20
    assert [each for each in callers.unanswered() if _runs(site, callers, each)] == []
    assert callers.unanswered(longer_than_s=CROSSING_S) == []
    promised = [each for each in callers.sent if each.status in PROMISES]
    assert [each for each in promised if _runs(site, callers, each)] == []


@pytest.mark.parametrize("is_keeping", [True, False], ids=["kept", "new"])
def test_long_calls_sent_through_the_whole_grace_are_answered(site, tmp_path, is_keeping):
    """Guard against calls that were passed on late in the grace, and cut at the exit."""
    _check(site, *_stop_under_load(site, tmp_path, ["post", "read"], is_keeping, LONG_WORK_S))


@pytest.mark.parametrize("is_keeping", [True, False], ids=["kept", "new"])
def test_short_calls_sent_up_to_the_exit_are_answered(site, tmp_path, is_keeping):
    """Guard against requests that wait unread as the process exits."""
    callers, took_s = _stop_under_load(site, tmp_path, ["post", "read"], is_keeping, SHORT_WORK_S)
    _check(site, callers, took_s)
    # Requests may cross the close, but not one from every caller.
    assert len(callers.unanswered()) < callers.count


@pytest.mark.parametrize("is_keeping", [True, False], ids=["kept", "new"])
def test_streams_sent_through_the_whole_grace_are_answered(site, tmp_path, is_keeping):
    """Guard against streams that are taken late in the grace, and cut at the exit."""
    _check(site, *_stop_under_load(site, tmp_path, ["note", "check"], is_keeping, SHORT_WORK_S))


def test_request_whose_body_comes_late_in_a_drain_is_answered(site, tmp_path):
    """Guard against an entry that exits between the head and the body of a request."""
    head, separator, body = _encoder("read")("late").partition(b"\r\n\r\n")
    with running_entries(site, tmp_path, 1) as entries:
        address = ("127.0.0.1", entries[0].ports.callers)
        with socket.create_connection(address, GRACE_S) as connection:
            connection.sendall(head + separator)
            time.sleep(0.1)
            entries[0].process.send_signal(signal.SIGTERM)
            time.sleep(LATE_BODY_S)
            connection.sendall(body)
            answer = b"".join(iter(lambda: connection.recv(65536), b""))
            # It may be refused, as it has waited for its body longer than its route's timeout.
            assert answer.startswith((b"HTTP/1.1 200 ", b"HTTP/1.1 503 "))
        assert entries[0].process.wait(GRACE_S) == 0

"""A response that two threads race to send reaches the caller whole, and once."""

import threading
import time

import pytest

from gooseberryquay.links.streaming_gateway import CallerDisconnected
from gooseberryquay.serving.final_response import FinalResponse

WRITE_S = 0.1


class _SlowWriter:
    def __init__(self):
        self.events = []
        self.has_begun = threading.Event()

    def send(self, status, headers, body):
        self.has_begun.set()
        time.sleep(WRITE_S)
        self.events.append(status)

    def start_stream(self, status, headers):
        self.events.append("stream")


@pytest.mark.parametrize("second", ["send", "start_stream"])
def test_thread_that_answers_second_ends_only_once_the_first_response_is_written(second):
    """The server closed the connection before the response of the drain was written."""
    writer = _SlowWriter()
    response = FinalResponse(writer)
    first = threading.Thread(target=response.try_send, args=(502, [], b""))
    first.start()
    assert writer.has_begun.wait(5.0)
    with pytest.raises(CallerDisconnected):
        if second == "send":
            response.send(200, [], b"done")
        else:
            response.start_stream(200, [])
    assert writer.events == [502]
    first.join()


def test_drain_does_not_wait_for_a_response_that_has_begun():
    writer = _SlowWriter()
    response = FinalResponse(writer)
    first = threading.Thread(target=response.send, args=(200, [], b""))
    first.start()
    assert writer.has_begun.wait(5.0)
    assert not response.try_send(502, [], b"")
    assert writer.events == []
    first.join()
    assert writer.events == [200]

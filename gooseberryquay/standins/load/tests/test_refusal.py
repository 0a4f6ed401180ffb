from email.message import Message

import pytest

from gooseberryquay.errors import Overloaded
from gooseberryquay.links.refusal import refuse
from gooseberryquay.standins.load.refusal import Refusal, read_refusal


class FakeResponse:
    def __init__(self, body, retry_after=None, status=503):
        self.status = status
        self.headers = Message()
        if retry_after is not None:
            self.headers["Retry-After"] = retry_after
        self._body = body

    def read(self):
        return self._body


def test_refusal_of_an_entry_is_complete():
    refused = refuse(Overloaded("full", retry_after_s=0.4), "request-1")
    response = FakeResponse(refused.body, refused.headers["Retry-After"])
    assert read_refusal(response) == Refusal("overloaded", is_complete=True)


@pytest.mark.parametrize(
    ("response", "name"),
    [
        (FakeResponse(b'{"error": {"type": "overloaded", "ran": "no"}}'), "overloaded"),
        (FakeResponse(b'{"error": {"type": "overloaded"}}', "1"), "overloaded"),
        (FakeResponse(b'{"error": {"type": "overloaded", "ran": "perhaps"}}', "1"), "overloaded"),
        (FakeResponse(b"busy", "1"), "http_503"),
    ],
)
def test_refusal_without_ran_or_retry_after_is_incomplete(response, name):
    assert read_refusal(response) == Refusal(name, is_complete=False)

"""Invalid input gets typed errors, and common clients work."""

import contextlib
import http.client
import json
import os
import socket
from pathlib import Path

import openai
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from gooseberryquay.daemons.tests.builders import (
    COMPLETION_PATH,
    FIND_PATH,
    MODEL,
    POST_PATH,
    WORKSPACE,
    call,
    small_plan,
)
from gooseberryquay.standins.local_fleet import LocalFleet

CHAT_PATH = "/v1/chat/completions"
FUZZED_REQUESTS = int(os.environ.get("FUZZED_REQUESTS", "300"))
THREAD_GROWTH_MAX = 16
MEMORY_GROWTH_MB_MAX = 32
BODY_BYTES_MAX = 64 * 1024


@pytest.fixture(scope="module")
def fleet():
    limits = {"body_bytes_max": BODY_BYTES_MAX}
    with LocalFleet(small_plan(entries=1, engines=1, limits=limits)) as running:
        yield running


@pytest.fixture(scope="module")
def address(fleet):
    return fleet.entry_addresses()[0]


def _send_raw(address, path, body, headers, method="POST"):
    connection = http.client.HTTPConnection(*address, timeout=20)
    connection.request(method, path, body, headers)
    response = connection.getresponse()
    data = response.read()
    connection.close()
    return response.status, data


def _assert_typed_error(status, data):
    error = json.loads(data)["error"]
    assert 400 <= status < 600
    assert error["type"] and error["message"] and error["request_id"]
    assert error["ran"] in ("no", "maybe", "yes")
    return error


PROMPT = {"model": MODEL, "prompt": "p", "standin_output_tokens": 1}
BAD_BODIES = [
    (b"", 400),
    (b"{", 400),
    (b"\xff\xfe", 400),
    (b"[]", 400),
    (json.dumps({"prompt": "p"}).encode(), 400),
    (json.dumps({**PROMPT, "model": "no-such"}).encode(), 404),
    (json.dumps({**PROMPT, "model": "ledger-app"}).encode(), 404),
    (json.dumps({**PROMPT, "model": 7}).encode(), 400),
    (json.dumps({**PROMPT, "prompt": None}).encode(), 400),
    (json.dumps({**PROMPT, "max_tokens": 0}).encode(), 400),
    (json.dumps({**PROMPT, "max_tokens": "5"}).encode(), 400),
    (json.dumps({**PROMPT, "stream": "yes"}).encode(), 400),
    (json.dumps({**PROMPT, "n": 2}).encode(), 400),
    (json.dumps({**PROMPT, "prompt": "x" * BODY_BYTES_MAX}).encode(), 413),
]


@pytest.mark.parametrize(("body", "status"), BAD_BODIES)
def test_bad_body_is_refused_and_nothing_is_sent(fleet, address, body, status):
    before = fleet.engine_counts("engine-1").arrivals
    got, data = _send_raw(address, COMPLETION_PATH, body, {"X-Workspace": WORKSPACE})
    assert got == status
    assert _assert_typed_error(got, data)["ran"] == "no"
    assert fleet.engine_counts("engine-1").arrivals == before


BAD_HEADERS = [
    ({}, 403, "unknown_workspace"),
    ({"X-Workspace": "stranger"}, 403, "unknown_workspace"),
    ({"X-Workspace": WORKSPACE, "X-Deadline-Ms": "0"}, 400, "deadline_past"),
    ({"X-Workspace": WORKSPACE, "X-Deadline-Ms": "-5"}, 400, "deadline_past"),
    ({"X-Workspace": WORKSPACE, "X-Deadline-Ms": "soon"}, 400, "invalid_request"),
    ({"X-Workspace": WORKSPACE, "X-Work-Kind": "a b"}, 400, "invalid_request"),
    ({"X-Workspace": WORKSPACE, "Last-Event-ID": "x"}, 410, "generation_lost"),
    ({"X-Workspace": WORKSPACE, "Last-Event-ID": "x" * 999}, 410, "generation_lost"),
]


@pytest.mark.parametrize(("headers", "status", "error_type"), BAD_HEADERS)
def test_bad_header_is_refused(address, headers, status, error_type):
    got, data = _send_raw(address, COMPLETION_PATH, json.dumps(PROMPT), headers)
    assert (got, _assert_typed_error(got, data)["type"]) == (status, error_type)


@pytest.mark.parametrize(
    ("path", "headers"),
    [
        (POST_PATH, {"X-Workspace": "stranger"}),
        ("/services/x/y", {}),
        (POST_PATH, {"X-Work-Kind": "a b"}),
    ],
)
def test_refused_duplicate_may_have_run_under_another_configuration(address, path, headers):
    duplicate = call(address, path, {}, key="moved", **headers)
    first = call(address, path, {}, key="moved", **headers, **{"X-Retry-Count": "0"})
    assert (duplicate.error["ran"], first.error["ran"]) == ("maybe", "no")


def test_overlong_idempotency_key_is_refused(address):
    refused = call(address, POST_PATH, {}, key="k" * 201)
    assert (refused.status, refused.error["type"]) == (400, "idempotency_key_required")


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [("GET", "/nowhere", 404), ("GET", COMPLETION_PATH, 405), ("POST", "/services/x/y", 404)],
)
def test_unknown_paths_get_typed_errors(address, method, path, status):
    got, data = _send_raw(address, path, b"{}", {"X-Workspace": WORKSPACE}, method)
    assert got == status
    _assert_typed_error(got, data)


header_values = st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=60)
json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=10,
)
bodies = st.one_of(
    st.binary(max_size=200),
    json_values.map(lambda value: json.dumps(value).encode()),
    st.fixed_dictionaries(
        {"model": st.sampled_from([MODEL, "other"]) | json_values},
        optional={
            "prompt": json_values,
            "messages": json_values,
            "stream": json_values,
            "max_tokens": json_values,
            "standin_output_tokens": st.integers(1, 3),
        },
    ).map(lambda value: json.dumps(value).encode()),
)
paths = st.sampled_from([COMPLETION_PATH, CHAT_PATH, POST_PATH, FIND_PATH, "/services/a/b", "/x"])
header_names = st.sampled_from(
    ["X-Deadline-Ms", "X-Work-Kind", "X-Request-Id", "Idempotency-Key", "Last-Event-ID"]
)


def _thread_count(fleet):
    return len(list(Path(f"/proc/{fleet.process('entry-1').pid}/task").iterdir()))


@settings(
    max_examples=FUZZED_REQUESTS,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)
@given(
    path=paths,
    body=bodies,
    headers=st.dictionaries(header_names, header_values, max_size=3),
)
def _fuzz(address, path, body, headers):
    status, data = _send_raw(address, path, body, {"X-Workspace": WORKSPACE, **headers})
    if status != 200:
        _assert_typed_error(status, data)


def test_fuzzed_requests_get_typed_errors_without_resource_growth(fleet, address):
    call(address, COMPLETION_PATH, PROMPT)
    threads = _thread_count(fleet)
    resident_mb = fleet.process("entry-1").resident_mb()
    _fuzz(address)
    assert _thread_count(fleet) <= threads + THREAD_GROWTH_MAX
    assert fleet.process("entry-1").resident_mb() <= resident_mb + MEMORY_GROWTH_MB_MAX


def test_malformed_bytes_do_not_stop_the_entry(address):
    for payload in (b"\x00" * 100, b"GET\r\n\r\n", b"POST / HTTP/9.9\r\n\r\n", b"A" * 70_000):
        connection = socket.create_connection(address, timeout=10)
        # The entry may close the connection at any of these steps.
        with contextlib.suppress(OSError):
            connection.sendall(payload)
            connection.shutdown(socket.SHUT_WR)
            while connection.recv(4096):
                pass
        connection.close()
    assert call(address, "/livez", {}, method="GET").status == 200


def test_openai_client_streams_and_gets_a_typed_error(address):
    client = openai.OpenAI(
        base_url=f"http://{address}/v1",
        api_key="none",
        default_headers={"X-Workspace": WORKSPACE},
        max_retries=0,
    )
    chunks = client.chat.completions.create(
        model=MODEL,
        messages=[{"role": "user", "content": "hi"}],
        stream=True,
        extra_body={"standin_output_tokens": 7},
    )
    texts = [chunk.choices[0].delta.content or "" for chunk in chunks]
    assert "".join(texts).count("t") == 7
    whole = client.completions.create(
        model=MODEL, prompt="p", extra_body={"standin_output_tokens": 3}
    )
    assert len(whole.choices[0].text.split()) == 3
    with pytest.raises(openai.NotFoundError) as caught:
        client.completions.create(model="no-such", prompt="p")
    assert caught.value.body["type"] == "unknown_model"


def test_connection_is_reused_for_the_next_request(address):
    connection = http.client.HTTPConnection(*address, timeout=20)
    for _ in range(3):
        connection.request("POST", COMPLETION_PATH, json.dumps(PROMPT), {"X-Workspace": WORKSPACE})
        response = connection.getresponse()
        assert response.status == 200
        response.read()
        assert not response.will_close
    connection.close()

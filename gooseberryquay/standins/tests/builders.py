"""Builders of requests to the stand-ins, and parsers of their event streams."""

import json
import time
from dataclasses import dataclass

from result import Ok


@dataclass(frozen=True)
class Event:
    id: str
    data: str


def body_of(output_tokens, prompt="draft a note", is_stream=True):
    return json.dumps(
        {
            "model": "m",
            "prompt": prompt,
            "stream": is_stream,
            "standin_output_tokens": output_tokens,
        }
    ).encode()


def open_stream(client, generation, output_tokens, prompt="draft a note", priority=5):
    headers = {"X-Request-Id": generation, "X-Priority": str(priority)}
    body = body_of(output_tokens, prompt)
    return client.open("POST", "/v1/completions", body, headers).unwrap()


def read_stream(stream):
    return parse_events(b"".join(part.unwrap() for part in parts_of(stream)))


def parts_of(stream):
    while True:
        part = stream.body.read()
        if part == Ok(b""):
            return
        yield part
        if part.is_err():
            return


def read_some(stream, count):
    text = b""
    for part in parts_of(stream):
        text += part.unwrap()
        whole, _, _ = text.rpartition(b"\n\n")
        if whole.count(b"\n\n") + 1 >= count:
            return parse_events(whole + b"\n\n")
    return parse_events(text)


def parse_events(text):
    events = []
    for block in text.decode().split("\n\n"):
        fields = dict(line.split(": ", 1) for line in block.splitlines() if ": " in line)
        if fields:
            events.append(Event(fields.get("id", ""), fields["data"]))
    return events


def event_indexes(events, generation):
    ids = [event.id.rsplit("/", 1) for event in events if event.id]
    assert {name for name, _ in ids} <= {generation}
    return [int(index) for _, index in ids]


def wait_until(is_true, timeout_s=20.0):
    deadline = time.monotonic() + timeout_s
    while not is_true():
        assert time.monotonic() < deadline, "condition was not met before the timeout"
        time.sleep(0.02)

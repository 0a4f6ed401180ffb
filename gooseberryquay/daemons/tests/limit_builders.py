"""Entries that start with low limits of the operating system."""

import contextlib
import shlex
import socket
import sys

from gooseberryquay.standins.node_platform.site import HOST, KEY

CONNECT_TIMEOUT_S = 2.0


def limit_children(monkeypatch, folder, *limits):
    """Let processes that are started from now on set the limits by `ulimit` first."""
    wrapper = folder / "limited-python"
    commands = [f"ulimit {each}" for each in limits]
    commands.append(f'exec {shlex.quote(sys.executable)} "$@"')
    wrapper.write_text("#!/bin/bash\nset -e\n" + "\n".join(commands) + "\n")
    wrapper.chmod(0o755)
    monkeypatch.setattr(sys, "executable", str(wrapper))


@contextlib.contextmanager
def open_connections(port, count):
    """Open connections that send nothing; those beyond the listen queue are left out."""
    with contextlib.ExitStack() as stack:
        for _ in range(count):
            opened = socket.create_connection(("127.0.0.1", port), CONNECT_TIMEOUT_S)
            stack.enter_context(opened)
        yield


def encode_request(kind, id, events=20):
    """Return the bytes of one request with an empty JSON object as its body."""
    lines = [
        f"POST /{kind}/{id} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {kind}-{id}",
        "X-Deadline-Ms: 10000",
        f"Authorization: Bearer {KEY}",
        "X-Model: m",
        f"X-Token-Usage: 100,{events * 4}",
        "Content-Length: 2",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n{}").encode()

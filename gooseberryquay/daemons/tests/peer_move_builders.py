"""Streams that are moved, with requests that reach their engines through a peer."""

import contextlib
import itertools
import threading
import time
from enum import Enum

from gooseberryquay.daemons.tests.cut_builders import viewed_entries
from gooseberryquay.daemons.tests.move_promise_builders import (
    ANSWERS,
    Continuation,
    Plan,
    read_while_engines_leave,
)
from gooseberryquay.daemons.tests.platform_builders import send_request
from gooseberryquay.standins.node_platform.entry_view import CutManner

# Migrations go on copying until they have to stop the run, so that the cut comes before that.
SLOW_COPY_S = 0.25
CUT_AFTER_S = 0.3
NOTICED_WITHIN_S = 5.0
PROBE_CALLERS = 4
PEER_PLANS = [
    Plan(*each)
    for each in itertools.product(
        ANSWERS, (Continuation.SERVED, Continuation.MARKED, Continuation.UNAVAILABLE)
    )
]


class PeerWay(Enum):
    """Enumerate the parts of a stream that a peer carries."""

    BEGINNING = "beginning"
    CONTINUATION = "continuation"


@contextlib.contextmanager
def linked_entries(site, folder, count):
    """Run entries with links of their own, which the engines know as addresses of each other."""
    with viewed_entries(site, folder, count) as (entries, views):
        site.link(views)
        yield entries


def read_through_a_peer(site, callers, entry, way):
    """Read while engines leave, with one entry cut off before the streams or before they go on.

    Returns how many requests that went on from a copy came through a peer.
    """
    port, view = entry.ports.callers, site.views[0]
    cuts_s = []
    match way:
        case PeerWay.BEGINNING:
            _cut(view, entry)
            read_while_engines_leave(site, callers, port, before_leave=lambda: _heal(view, entry))
        case PeerWay.CONTINUATION:
            read_while_engines_leave(
                site, callers, port, after_leave=lambda: cuts_s.append(_cut_later(view, entry))
            )
    return sum(at_s > cut_s for cut_s in cuts_s for *_, at_s in site.continuations)


def _cut_later(view, entry):
    time.sleep(CUT_AFTER_S)
    return _cut(view, entry)


def _cut(view, entry):
    """Let new connections fail, while open ones live on, until the entry has noticed.

    Returns the time from which only peers can open connections.
    """
    view.cut(CutManner.REFUSE_NEW)
    cut_at_s = time.monotonic()
    _await_line(entry, "dependency lost")
    return cut_at_s


def _heal(view, entry):
    view.heal()
    _await_line(entry, "dependency regained")


def _await_line(entry, event):
    """Call the entry, so that it notices how its links are, until it logs that."""
    until_s = time.monotonic() + NOTICED_WITHIN_S
    while not _has_line(entry, event):
        assert time.monotonic() < until_s, f"no line on {event}"
        calls = [
            threading.Thread(target=send_request, args=(entry.ports.callers, "/read/1", b"x"))
            for _ in range(PROBE_CALLERS)
        ]
        for each in calls:
            each.start()
        time.sleep(0.05)


def _has_line(entry, event):
    lines = entry.log.read_text().splitlines()
    return any(event in each and '"dependency": "upstreams"' in each for each in lines)

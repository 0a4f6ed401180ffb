"""Works, placements and sinks for the tests of links."""

import time
from dataclasses import dataclass, field

from result import Ok

from gooseberryquay.contracts.fields import Address
from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import RequestId, ServiceId, UpstreamId, WorkKind, WorkspaceId, ZoneId
from gooseberryquay.machines.work import Work

MODEL = ServiceId("yield-model")
UNUSED_ADDRESS = Address("127.0.0.1", 9)


def build_declaration(number, address=None, zone="zone-a"):
    return UpstreamDeclaration(
        id=UpstreamId(f"engine-{number}"),
        service=MODEL,
        zone=ZoneId(zone),
        address=address or UNUSED_ADDRESS,
    )


def build_work(**changes):
    fields = {
        "request_id": RequestId("request-1"),
        "workspace": WorkspaceId("clerks"),
        "service": MODEL,
        "kind": WorkKind("summary"),
        "fingerprint": "fingerprint-1",
        "prompt_tokens": 10,
        "max_tokens": 100,
        "prefix_hash": "prefix",
        "deadline_at_s": time.monotonic() + 60.0,
        "first_token_s": 1.0,
        "token_gap_s": 0.071,
    }
    return Work(**{**fields, **changes})


@dataclass
class HeldPlacement:
    """Hold a place and remember how it ended."""

    upstream: UpstreamDeclaration
    priority: int = 0
    outcome: object = None

    def saw_report(self, report):
        pass

    def saw_tokens(self, count):
        pass

    def finish(self, outcome):
        self.outcome = outcome


@dataclass
class ScriptedGuard:
    """Give one scripted result for each attempt to place."""

    results: list
    placed: list = field(default_factory=list)
    died: list = field(default_factory=list)

    def place(self, _work):
        result = self.results.pop(0)
        if isinstance(result, Ok):
            self.placed.append(result.unwrap())
        return result

    def upstream_died(self, upstream, _work):
        self.died.append(upstream.id)

    def ended(self, _work, _outcome):
        pass


class EmptySink:
    """Take no events, and start again as often as it is asked."""

    raw_writer = None
    record = None

    def take(self, _checked):
        raise AssertionError("no event was expected")

    def restart(self):
        return True

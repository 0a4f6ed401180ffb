"""Test doubles of placements, dispatchers and sinks."""

from dataclasses import dataclass, field

from result import Ok

from gooseberryquay.contracts.upstream import UpstreamDeclaration


@dataclass
class RecordingPlacement:
    """Represent a placement that records its outcome."""

    upstream: UpstreamDeclaration
    priority: int = 0
    outcome: object = None

    def record_report(self, report):
        pass

    def record_tokens(self, count):
        pass

    def finish(self, outcome):
        self.outcome = outcome


@dataclass
class ScriptedDispatcher:
    """Return one scripted result for each placement attempt."""

    results: list
    placed: list = field(default_factory=list)
    crashed: list = field(default_factory=list)

    def place(self, _work):
        result = self.results.pop(0)
        if isinstance(result, Ok):
            self.placed.append(result.unwrap())
        return result

    def upstream_died(self, upstream, _work):
        self.crashed.append(upstream.id)

    def ended(self, _work, _outcome):
        pass


class EmptySink:
    """Expect no events, and allow any number of restarts."""

    raw_writer = None
    record = None

    def accept(self, _validated):
        raise AssertionError("no event was expected")

    def restart(self):
        return True

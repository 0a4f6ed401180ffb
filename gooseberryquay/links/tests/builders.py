"""Placements, guards and sinks for the tests of links."""

from dataclasses import dataclass, field

from result import Ok

from gooseberryquay.contracts.upstream import UpstreamDeclaration


@dataclass
class HeldPlacement:
    """Hold a place and remember how it ended."""

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

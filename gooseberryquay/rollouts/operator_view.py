"""Text and metrics on roll-outs for operators."""

from collections.abc import Iterable, Iterator

from prometheus_client import CollectorRegistry
from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from gooseberryquay.rollouts.book import RolloutBook
from gooseberryquay.rollouts.course import RolloutCourse

__all__ = ["RolloutMetrics", "rollouts_text"]

NO_ROLLOUTS = "no rollouts\n"


def _state_of(course: RolloutCourse) -> str:
    if course.outcome is not None:
        return course.outcome.value
    return course.phase.name.lower()


def rollouts_text(courses: Iterable[RolloutCourse]) -> str:
    """Return one line for each order, with share, counts and verdict."""
    lines = []
    for each in courses:
        totals, finding = each.totals, each.finding
        share = totals.exposed / totals.requests if totals.requests else 0.0
        written = each.written.value if each.written is not None else "nothing"
        lines.append(
            f"{each.order.service} to {each.order.target}: {_state_of(each)} ({written} written), "
            f"{totals.exposed} of {totals.requests} requests ({share:.1%}), "
            f"{finding.bad} of {finding.answers} answers bad "
            f"(present version {finding.present_share:.1%}), verdict {finding.verdict.value}"
            + (f": {each.reason or finding.reason}" if each.reason or finding.reason else "")
        )
    return "\n".join(lines) + "\n" if lines else NO_ROLLOUTS


class RolloutMetrics(Collector):
    """Export the counts and states of the orders when metrics are read."""

    def __init__(self, book: RolloutBook, registry: CollectorRegistry) -> None:
        self._book = book
        registry.register(self)

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yield the current values."""
        labels = ("service", "target")
        requests = GaugeMetricFamily("rollout_requests", "Requests since the order", labels=labels)
        exposed = GaugeMetricFamily("rollout_exposed", "Requests sent to the target", labels=labels)
        answers = GaugeMetricFamily("rollout_answers", "Answers of the target", labels=labels)
        bad = GaugeMetricFamily("rollout_bad_answers", "Bad answers of the target", labels=labels)
        state = GaugeMetricFamily("rollout_state", "1 in this state", labels=(*labels, "state"))
        for each in self._book.courses():
            names = [str(each.order.service), str(each.order.target)]
            requests.add_metric(names, each.totals.requests)
            exposed.add_metric(names, each.totals.exposed)
            answers.add_metric(names, each.finding.answers)
            bad.add_metric(names, each.finding.bad)
            state.add_metric([*names, _state_of(each)], 1)
        yield from (requests, exposed, answers, bad, state)

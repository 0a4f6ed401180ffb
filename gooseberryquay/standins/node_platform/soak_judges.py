"""Judge what callers and upstreams saw by the rules that entries must keep."""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import Enum

from gooseberryquay.standins.node_platform.call_result import CallEnd, CallKind, CallResult
from gooseberryquay.standins.node_platform.entry_history import EntryHistory
from gooseberryquay.standins.node_platform.run_record import RunRecord

__all__ = ["Rule", "Violation", "find_violations"]

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# A request that was sent later than this before the connection ended may have crossed its close.
LOSS_SLACK_S = 0.2
# A stream that runs on into this last part of the grace may be cut at its end.
LAST_GRACE_SHARE = 1 / 6
# The shorter of the route's timeout and the caller's deadline.
STREAM_LIMITS_S = {CallKind.NOTE: 10.0, CallKind.CHECK: 6.0}


class Rule(Enum):
    """Rules that entries must keep."""

    LOST = "LOST"
    REFUSED = "REFUSED"
    TWICE = "TWICE"
    MIXED = "MIXED"
    ORDER = "ORDER"
    UNASKED = "UNASKED"
    CONFIG = "CONFIG"
    DRAIN = "DRAIN"
    RATE = "RATE"
    ROLLOUT = "ROLLOUT"
    RECOVER = "RECOVER"
    FAULT = "FAULT"


@dataclass(frozen=True)
class Violation:
    """One breach of a rule; the other fields are set if it concerns one request."""

    rule: Rule
    description: str
    request: str | None = None
    port: int | None = None
    began_at_s: float = 0.0
    ended_at_s: float = 0.0

    def __str__(self) -> str:
        return f"{self.rule.value}: {self.description}"


def find_violations(
    results: list[CallResult],
    record: RunRecord,
    histories: Mapping[int, EntryHistory] | None = None,
) -> list[Violation]:
    """Return each violation of a rule by a response or a run.

    `histories` has the history of the entry behind each port that callers use.
    """
    found = [Violation(Rule.UNASKED, each) for each in record.unexpected_requests]
    for result in results:
        history = (histories or {}).get(result.port, EntryHistory())
        for rule, text in _judge(result, record, history):
            description = f"{result.kind.value} {result.id} {text}"
            times = result.began_at_s, result.ended_at_s
            found.append(Violation(rule, description, result.id, result.port, *times))
    return found


def _judge(
    result: CallResult, record: RunRecord, history: EntryHistory
) -> Iterator[tuple[Rule, str]]:
    runs = record.runs_of(result.id)
    if result.kind.runs_at_most_once and len(runs) > 1:
        yield Rule.TWICE, f"ran at {runs}"
    if result.status in NOT_RUN_STATUSES and runs and result.kind is not CallKind.READ:
        yield Rule.REFUSED, f"got {result.status}, but ran at {runs}"
    loss = _find_loss(result, record, history)
    if loss is not None:
        yield Rule.LOST, loss
    disorder = _find_disorder(result, record)
    mix = _find_mix(result, record, history)
    if disorder is not None:
        yield Rule.ORDER, disorder
    elif mix is not None:
        yield Rule.MIXED, mix


def _find_loss(result: CallResult, record: RunRecord, history: EntryHistory) -> str | None:
    match result.end:
        case CallEnd.COMPLETE | CallEnd.NOT_SENT | CallEnd.MALFORMED:
            return None
        case CallEnd.TIMED_OUT:
            if history.is_link_disrupted(result.began_at_s, result.ended_at_s, result.port):
                return None
            return "got no complete response before the timeout"
        case CallEnd.CLOSED:
            return _find_cut(result, record, history)


def _find_cut(result: CallResult, record: RunRecord, history: EntryHistory) -> str | None:
    sent_at_s = history.sent_at_s(result)
    waited_s = result.ended_at_s - sent_at_s if sent_at_s is not None else 0.0
    receivers = record.receivers_of(result.id)
    if not receivers and waited_s <= LOSS_SLACK_S:
        return None
    if history.is_disrupted(result.began_at_s, result.ended_at_s, result.port):
        return None
    if result.has_begun and result.kind.is_streaming and _may_end(result, record, history):
        return None
    stops = [f"{result.ended_at_s - each:.2f}" for each in history.stops]
    since_stops = f", {', '.join(stops)} s after a stop" if stops else ""
    connection = "a kept connection" if result.is_kept else "a new connection"
    return (
        f"was cut on {connection} {waited_s:.2f} s after it was sent{since_stops}; "
        f"received by {receivers}, ran at {record.runs_of(result.id)}"
    )


def _may_end(result: CallResult, record: RunRecord, history: EntryHistory) -> bool:
    """Return whether a stream that has begun may end without its last event."""
    if record.was_broken_off(result.id):
        return True
    if result.ended_at_s - result.began_at_s >= STREAM_LIMITS_S[result.kind]:
        return True
    until_last_part_s = history.grace_s * (1.0 - LAST_GRACE_SHARE)
    return any(
        result.began_at_s <= stop_s and stop_s + until_last_part_s <= result.ended_at_s
        for stop_s in history.stops
    )


def _find_disorder(result: CallResult, record: RunRecord) -> str | None:
    """Return how a stream that looks complete differs from the events that its engine makes."""
    last = record.last_event_of(result.id)
    if result.events is None or last is None:
        return None
    if result.events == tuple(range(1, last + 1)):
        return None
    is_short = result.events == tuple(range(1, len(result.events) + 1))
    numbers = f"1 to {len(result.events)}" if is_short else ", ".join(map(str, result.events))
    stopped = ", its run was stopped on an order" if record.was_stopped(result.id) else ""
    return f"looks complete with the events {numbers} of 1 to {last}{stopped}"


def _find_mix(result: CallResult, record: RunRecord, history: EntryHistory) -> str | None:
    if result.end is CallEnd.MALFORMED and history.is_link_disrupted(
        result.began_at_s, result.ended_at_s, result.port
    ):
        return None
    if result.fault is not None:
        return result.fault
    statuses = record.sealed_statuses_of(result.id)
    if result.seal is not None and result.status is not None and result.status not in statuses:
        return f"got {result.status} with the seal of a response with {statuses}"
    return None

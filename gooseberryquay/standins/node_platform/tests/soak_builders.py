"""Results, records and histories of entries that the judges of a soak are tested on."""

from gooseberryquay.standins.node_platform.call_result import CallEnd, CallKind, CallResult
from gooseberryquay.standins.node_platform.entry_history import Disruption, EntryHistory
from gooseberryquay.standins.node_platform.run_record import RunRecord
from gooseberryquay.standins.node_platform.soak_judges import find_violations

PORT, OTHER_PORT = 1000, 1001
GRACE_S = 4.0
SENT_AT_S = 100.0


def call(kind=CallKind.POST, end=CallEnd.COMPLETE, lasted_s=1.0, **changes):
    """Return a call that was sent at `SENT_AT_S` and ended `lasted_s` later."""
    fields = {
        "status": 200 if end is CallEnd.COMPLETE else None,
        "sent_at_s": None if end is CallEnd.NOT_SENT else SENT_AT_S,
        **changes,
    }
    return CallResult("request", kind, PORT, SENT_AT_S, SENT_AT_S + lasted_s, end=end, **fields)


def record(receivers=(), runs=(), broke_off=False, sealed_statuses=(), last_event=None):
    """Return the record of upstreams that received, ran and answered the request."""
    made = RunRecord()
    for each in receivers:
        made.add_arrival(each, "request")
    for each in runs:
        made.add_run("request", each)
    for each in sealed_statuses:
        made.add_sealed_status("request", each)
    if last_event is not None:
        made.add_stream("request", last_event, is_unframed=True)
    if broke_off:
        made.add_broken_off("request")
    return made


def history(disruptions=(), stops_s=(), passed_on_after_s=None, is_proxied=False):
    """Return the history of the entry, with times in seconds from `SENT_AT_S`."""
    passed_on = {} if passed_on_after_s is None else {"request": SENT_AT_S + passed_on_after_s}
    shifted = [
        Disruption(SENT_AT_S + from_s, SENT_AT_S + until_s, port)
        for from_s, until_s, port in disruptions
    ]
    ports = {PORT} if is_proxied else set()
    stops = [SENT_AT_S + each for each in stops_s]
    return EntryHistory(GRACE_S, shifted, stops, ports, passed_on)


def broken_rules(result, made=None, entry=None):
    """Return the names of the rules that one call breaks."""
    found = find_violations([result], made or record(), {PORT: entry or history()})
    return [each.rule.value for each in found]

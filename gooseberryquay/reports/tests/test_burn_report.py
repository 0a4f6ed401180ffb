import socket

from gooseberryquay.contracts.fields import Address
from gooseberryquay.contracts.settings import StatsdSettings
from gooseberryquay.errors import CallerLeft, InvalidRequest, Overloaded
from gooseberryquay.ids import EntryId
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.reports.burn_report import build_burn_report
from gooseberryquay.reports.burn_text import plot_burn, write_burn_text
from gooseberryquay.reports.indicator import Indicator, IndicatorCounts
from gooseberryquay.reports.level_ledger import (
    MAX_KEYS,
    OVERFLOW_KEY,
    ServiceLevelLedger,
    merge_ledgers,
)
from gooseberryquay.reports.level_recorder import ServiceLevelRecorder, evaluate_request
from gooseberryquay.reports.level_store import ServiceLevelStore, read_stored_ledgers
from gooseberryquay.reports.statsd_sink import StatsdSink
from gooseberryquay.reports.tests.builders import DECLARATION, MODEL, make_record
from gooseberryquay.standins.platform import PlatformStandIn

NOW_S = 1_800_000_000.0
KEY = "clerks/yield-model/summary"


def test_caller_errors_are_not_counted():
    assert evaluate_request(make_record(failure=InvalidRequest("bad")), MODEL) == {}
    assert evaluate_request(make_record(failure=CallerLeft("closed")), MODEL) == {}


def test_overload_refusal_counts_as_an_unanswered_request():
    counts = evaluate_request(make_record(failure=Overloaded("full")), MODEL)
    assert counts[Indicator.ANSWERED] == IndicatorCounts(1, 1)


def test_late_token_gaps_are_counted_individually():
    counts = evaluate_request(
        make_record(token_count=101, late_gap_count=4, first_token_s=2.0), MODEL
    )
    assert counts[Indicator.TOKEN_GAP] == IndicatorCounts(100, 4)
    assert counts[Indicator.FIRST_TOKEN] == IndicatorCounts(1, 1)


def test_burn_rate_over_short_and_long_windows_and_burn_start():
    ledger = ServiceLevelLedger()
    for minute in range(120):
        broken = 20 if minute >= 110 else 0
        at_s = NOW_S - (120 - minute) * 60
        ledger.add(at_s, KEY, {Indicator.ANSWERED: IndicatorCounts(100, broken)})
    report = build_burn_report(ledger, DECLARATION, now_s=NOW_S)
    (row,) = report.rows
    five_minutes, hour, *_, day = row.windows
    assert abs(five_minutes.burn - 4.0) < 0.01
    assert 0.5 < hour.burn < 0.8
    assert abs(day.burn - 200 / 12_000 / 0.05) < 0.01
    assert row.burning_since_s == NOW_S - 10 * 60


def test_number_of_keys_is_bounded():
    ledger = ServiceLevelLedger()
    for number in range(3 * MAX_KEYS):
        ledger.add(NOW_S, f"w{number}/s/k", {Indicator.ANSWERED: IndicatorCounts(1, 0)})
    assert len(ledger.keys_with_counts()) == MAX_KEYS + 1
    assert OVERFLOW_KEY in ledger.keys_with_counts()


def test_counts_survive_restarts_of_the_entry():
    platform = PlatformStandIn()
    platform.start()
    link = PlatformClient(Address("127.0.0.1", platform.port))
    for run in range(1, 4):
        recorder = ServiceLevelRecorder(lambda: DECLARATION)
        store = ServiceLevelStore(link, EntryId("entry-1"), recorder)
        store._load()
        recorder.record_request(make_record())
        store.stop()
        saved = read_stored_ledgers(link)[EntryId("entry-1")]
        assert saved.counts_since(0.0, KEY, Indicator.ANSWERED) == IndicatorCounts(run, 0)
    platform.stop()


def test_ledgers_of_several_entries_are_summed():
    ledgers = [ServiceLevelLedger(), ServiceLevelLedger()]
    for ledger in ledgers:
        ledger.add(NOW_S, KEY, {Indicator.DEADLINE: IndicatorCounts(3, 1)})
    total = merge_ledgers(ledgers)
    assert total.counts_since(NOW_S - 60, KEY, Indicator.DEADLINE) == IndicatorCounts(6, 2)


def test_text_and_plot_are_rendered(tmp_path):
    ledger = ServiceLevelLedger()
    ledger.add(NOW_S, KEY, {Indicator.ANSWERED: IndicatorCounts(100, 10)})
    report = build_burn_report(ledger, DECLARATION, ("entry-9",), NOW_S)
    text = write_burn_text(report)
    assert "clerks" in text
    assert "could not ask: entry-9" in text
    plot_burn(report, str(tmp_path / "burn.png"))
    assert (tmp_path / "burn.png").stat().st_size > 0


def test_metrics_are_aggregated_before_they_are_sent():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(5)
        settings = StatsdSettings(address=Address(*receiver.getsockname()))
        sink = StatsdSink(settings, lambda: {"queued": 3})
        for _ in range(50):
            sink.record_request(make_record())
        sink.flush()
        sent = receiver.recv(65536).decode().splitlines()
    assert "gooseberryquay.requests.yield-model.served:50|c" in sent
    assert "gooseberryquay.queued:3|g" in sent

"""The decision log is limited in rate and never blocks requests."""

import json
import logging
import os
import subprocess
import sys
import time

from gooseberryquay.serving.decision_log import BURST_LINES, LINES_PER_S, DecisionLog
from gooseberryquay.serving.tests.builders import FakeClock


class _Lines(logging.Handler):
    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)


def _log():
    logger = logging.Logger("test")
    lines, clock = _Lines(), FakeClock()
    logger.addHandler(lines)
    return DecisionLog(logger, clock), lines.records, clock


def test_burst_of_one_kind_is_limited_and_counted_without_affecting_other_kinds():
    log, records, clock = _log()
    for _ in range(1000):
        log.request("attempt failed", "r-1")
    assert len(records) == BURST_LINES
    log.failure("request refused", "r-2")
    log.lifecycle("draining")
    assert [each.msg for each in records[-2:]] == ["request refused", "draining"]
    clock.now_s += 1.0
    log.request("attempt failed", "r-3")
    assert records[-1].omitted_before == 1000 - BURST_LINES


def test_rate_of_a_kind_is_limited_over_time():
    log, records, clock = _log()
    for _ in range(10_000):
        log.request("attempt failed", "r-1")
        clock.now_s += 0.001
    assert len(records) <= BURST_LINES + 10 * LINES_PER_S


STALLED = """
import sys, time
from gooseberryquay.serving.decision_log import DecisionLog, set_up_decision_log
log = DecisionLog(set_up_decision_log("entry-1"))
began = time.monotonic()
for number in range(50000):
    log.lifecycle("line", text="x" * 200)
print(time.monotonic() - began, file=sys.stderr, flush=True)
import os; os._exit(0)
"""


def test_stalled_reader_does_not_block_the_process():
    reader, writer = os.pipe()
    with subprocess.Popen(
        [sys.executable, "-c", STALLED], stdout=writer, stderr=subprocess.PIPE, text=True
    ) as process:
        began_at_s = time.monotonic()
        process.wait(60.0)
        assert time.monotonic() - began_at_s < 60.0
        assert float(process.stderr.read()) < 30.0
    os.close(writer)
    first = os.read(reader, 65536).split(b"\n")[0]
    os.close(reader)
    assert json.loads(first)["entry"] == "entry-1"

"""Lags of the soak itself are measured, so that they are not taken for those of entries."""

import time

from gooseberryquay.standins.node_platform.lag_meter import LagMeter


def test_longest_lag_that_overlaps_a_time_is_found():
    meter = LagMeter()
    meter.lags = [(10.0, 0.5), (20.0, 1.5), (30.0, 0.1)]
    assert meter.longest_s(9.0, 25.0) == 1.5
    assert meter.longest_s(8.0, 9.6) == 0.5
    assert meter.longest_s(10.1, 18.4) == 0.0


def test_time_for_which_no_other_thread_could_run_is_measured():
    meter = LagMeter()
    meter.start()
    time.sleep(0.1)
    began_at_s = time.monotonic()
    # One call of a C function keeps the interpreter's lock until it ends.
    sum(range(30_000_000))
    ended_at_s = time.monotonic()
    time.sleep(0.1)
    meter.stop()
    assert meter.longest_s(began_at_s, ended_at_s) >= 0.5 * (ended_at_s - began_at_s)

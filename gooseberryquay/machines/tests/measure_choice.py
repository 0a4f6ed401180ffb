"""Print processor time per decision and memory per upstream and per length key.

Run as `python -m gooseberryquay.machines.tests.measure_choice`.
"""

import random
import time
import tracemalloc

from gooseberryquay.contracts.settings import ChoiceRule, ChoiceSettings
from gooseberryquay.machines.length_estimate import LengthEstimator
from gooseberryquay.machines.load_report import LoadReport
from gooseberryquay.machines.tests.choice_builders import (
    MutableConfiguration,
    build_configuration,
    build_dispatcher,
    build_upstream,
    build_work,
)
from gooseberryquay.machines.work import Outcome

UPSTREAM_COUNTS = (9, 48, 148, 444)
KEY_COUNTS = (100, 400, 1000)
OWN_IN_FLIGHT = 7
BATCHES = 16
BATCH_DECISIONS = 250
DECISIONS_PER_S = 88.0
REPORT = LoadReport(in_flight=20, kv_used_tokens=60_000, kv_total_tokens=131_072, step_s=0.03)


class PacedClock:
    """Clock that advances at the request rate of one node, whatever the decisions take."""

    def __init__(self):
        self.now_s = time.monotonic()

    def __call__(self):
        return self.now_s


def _build(count, rule, **fields):
    configuration = MutableConfiguration(
        build_configuration([build_upstream(each) for each in range(count)])
    )
    fields = {"entry_count": lambda: 15, "reports": REPORT, **fields}
    return build_dispatcher(configuration, ChoiceSettings(rule=rule), **fields)


def measure_decisions(count, rule):
    """Return the microseconds to place and finish one request: minimum and median of batches."""
    clock = PacedClock()
    dispatcher = _build(count, rule, clock=clock)
    rng = random.Random(1)
    held = [dispatcher.place(build_work()).unwrap() for _ in range(count * OWN_IN_FLIGHT)]
    times_us = sorted(_time_batch(dispatcher, clock, held, rng) for _ in range(BATCHES))
    return times_us[0], times_us[BATCHES // 2]


def _time_batch(dispatcher, clock, held, rng):
    work = build_work()
    started_s = time.process_time()
    for _ in range(BATCH_DECISIONS):
        clock.now_s += 1.0 / DECISIONS_PER_S
        index = rng.randrange(len(held))
        held[index].record_tokens(50)
        held[index].finish(Outcome.FINISHED)
        held[index] = dispatcher.place(work).unwrap()
        held[index].record_report(REPORT)
    return (time.process_time() - started_s) / BATCH_DECISIONS * 1e6


def measure_upstream_memory(count):
    """Return the bytes held per upstream with its requests in flight."""
    tracemalloc.start()
    dispatcher = _build(count, ChoiceRule.EXPECTED_MEMORY)
    held = [dispatcher.place(build_work()).unwrap() for _ in range(count * OWN_IN_FLIGHT)]
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used_bytes / len(held) * OWN_IN_FLIGHT


def measure_key_memory(count):
    """Return the bytes held per length key."""
    tracemalloc.start()
    estimator = LengthEstimator(max_keys=10_000)
    for number in range(count):
        for length in range(300):
            estimator.record(f"w{number}", "model", "kind", length + 1)
        estimator.distribution(f"w{number}", "model", "kind", 1000)
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used_bytes / count


def main():
    """Print one line for each size."""
    for rule in ChoiceRule:
        times = []
        for count in UPSTREAM_COUNTS:
            least_us, median_us = measure_decisions(count, rule)
            times.append(f"{count}: {least_us:.0f} / {median_us:.0f} us")
        print(f"place and finish, {rule.value}, least / median: {', '.join(times)}")
    for count in UPSTREAM_COUNTS:
        print(f"{count} upstreams: {measure_upstream_memory(count):.0f} B an upstream")
    for count in KEY_COUNTS:
        print(f"{count} length keys: {measure_key_memory(count):.0f} B a key")


if __name__ == "__main__":
    main()

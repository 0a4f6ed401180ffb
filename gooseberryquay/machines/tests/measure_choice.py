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
    HeldConfiguration,
    build_configuration,
    build_dispatcher,
    build_upstream,
    build_work,
)
from gooseberryquay.machines.work import Outcome

UPSTREAM_COUNTS = (9, 48, 148)
KEY_COUNTS = (100, 400, 1000)
OWN_IN_FLIGHT = 7
DECISIONS = 2000
REPORT = LoadReport(in_flight=20, kv_used_tokens=60_000, kv_total_tokens=131_072, step_s=0.03)


def _build(count, rule):
    held = HeldConfiguration(build_configuration([build_upstream(each) for each in range(count)]))
    return build_dispatcher(held, ChoiceSettings(rule=rule), entry_count=lambda: 15, reports=REPORT)


def measure_decisions(count, rule):
    """Give the processor time in microseconds of placing and finishing one request."""
    dispatcher = _build(count, rule)
    randomness = random.Random(1)
    held = [dispatcher.place(build_work()).unwrap() for _ in range(count * OWN_IN_FLIGHT)]
    started_s = time.process_time()
    for _ in range(DECISIONS):
        index = randomness.randrange(len(held))
        held[index].saw_tokens(50)
        held[index].finish(Outcome.FINISHED)
        held[index] = dispatcher.place(build_work()).unwrap()
    return (time.process_time() - started_s) / DECISIONS * 1e6


def measure_upstream_memory(count):
    """Give bytes held for all upstreams with their requests in flight."""
    tracemalloc.start()
    dispatcher = _build(count, ChoiceRule.EXPECTED_MEMORY)
    held = [dispatcher.place(build_work()).unwrap() for _ in range(count * OWN_IN_FLIGHT)]
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used_bytes / len(held) * OWN_IN_FLIGHT


def measure_key_memory(count):
    """Give bytes held for one length key."""
    tracemalloc.start()
    estimator = LengthEstimator(max_keys=10_000)
    for number in range(count):
        for length in range(300):
            estimator.record(f"w{number}", "model", "kind", length + 1)
        estimator.curve(f"w{number}", "model", "kind", 1000)
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used_bytes / count


def main():
    """Print one line for each size."""
    for rule in ChoiceRule:
        times = [f"{count}: {measure_decisions(count, rule):.0f} us" for count in UPSTREAM_COUNTS]
        print(f"place and finish, {rule.value}, by upstreams: {', '.join(times)}")
    for count in UPSTREAM_COUNTS:
        print(f"{count} upstreams: {measure_upstream_memory(count):.0f} B an upstream")
    for count in KEY_COUNTS:
        print(f"{count} length keys: {measure_key_memory(count):.0f} B a key")


if __name__ == "__main__":
    main()

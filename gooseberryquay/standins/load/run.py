"""Run the same arrivals against several variants side by side."""

import sys
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass

from gooseberryquay.contracts.fields import Address
from gooseberryquay.standins.load.arrivals import Arrival, LoadPlan, plan_arrivals
from gooseberryquay.standins.load.model_call import ModelCall
from gooseberryquay.standins.load.plain_call import PlainCall
from gooseberryquay.standins.load.sender import Sender
from gooseberryquay.standins.load.summary import VariantSummary
from gooseberryquay.standins.load.tally import Tally
from gooseberryquay.standins.load.upstream_counts import UpstreamGauge

__all__ = ["LoadOptions", "LoadRun", "Variant"]

TOKEN_GAP_S = 0.071
STALL_GAPS = 3
STACK_BYTES = 256 * 1024
POLL_S = 0.05
PROGRESS_S = 1.0
START_DELAY_S = 0.2


@dataclass(frozen=True)
class Variant:
    """Name the entries of one variant, and the upstreams whose counts are of interest."""

    name: str
    entries: tuple[Address, ...]
    upstreams: tuple[Address, ...] = ()


@dataclass(frozen=True)
class LoadOptions:
    """Set what the tool itself does; gaps over `late_gap_s` are shown second by second.

    The run ends `drain_s` after the last arrival even where calls are still open.
    """

    stall_gap_s: float = TOKEN_GAP_S * STALL_GAPS
    late_gap_s: float = TOKEN_GAP_S
    idle_timeout_s: float = 15.0
    drain_s: float = 60.0
    open_calls_max: int = 800
    shows_progress: bool = False


class LoadRun:
    """Make all calls of a plan against each variant, one thread for each open call."""

    def __init__(
        self,
        plan: LoadPlan,
        variants: Sequence[Variant],
        options: LoadOptions = LoadOptions(),
    ) -> None:
        self._plan = plan
        self._variants = variants
        self._options = options
        self._tallies = [Tally(each.name, plan, options.stall_gap_s) for each in variants]
        self._gauges = [UpstreamGauge(each.upstreams) for each in variants]
        self._started_at_s = 0.0
        # Keeps the keys of repeated runs against the same entries apart.
        self._run_number = time.time_ns()

    def run(self) -> list[VariantSummary]:
        """Make the calls, wait for their ends and give the figures of each variant."""
        threading.stack_size(STACK_BYTES)
        arrivals = plan_arrivals(self._plan)
        for gauge in self._gauges:
            gauge.start()
        self._started_at_s = time.monotonic() + START_DELAY_S
        drivers = [
            threading.Thread(target=self._drive, args=(variant, tally, arrivals), daemon=True)
            for variant, tally in zip(self._variants, self._tallies, strict=True)
        ]
        for driver in drivers:
            driver.start()
        self._wait(drivers)
        return [self._summarize(number) for number in range(len(self._variants))]

    def elapsed_s(self) -> float:
        """Give the time since the run's start."""
        return time.monotonic() - self._started_at_s

    def _summarize(self, number: int) -> VariantSummary:
        summary = self._tallies[number].summary()
        if self._variants[number].upstreams:
            summary.upstreams = self._gauges[number].summary()
        return summary

    def _drive(self, variant: Variant, tally: Tally, arrivals: list[Arrival]) -> None:
        sender = Sender(variant.entries, self._options.idle_timeout_s)
        for arrival in arrivals:
            time.sleep(max(0.0, arrival.at_s - self.elapsed_s()))
            is_started = tally.open_calls < self._options.open_calls_max
            tally.arrived(arrival, is_started)
            if is_started:
                arguments = (sender, variant, tally, arrival)
                threading.Thread(target=self._call, args=arguments, daemon=True).start()

    def _call(self, sender: Sender, variant: Variant, tally: Tally, arrival: Arrival) -> None:
        call: ModelCall | PlainCall
        if arrival.kind.is_generation():
            call = ModelCall(self._plan, arrival, sender, self.elapsed_s, self._options.late_gap_s)
        else:
            key = f"{variant.name}-{self._run_number}-{arrival.number}"
            call = PlainCall(self._plan, arrival, sender, self.elapsed_s, key)
        tally.finished(call.run())

    def _wait(self, drivers: list[threading.Thread]) -> None:
        shown_at_s = time.monotonic()
        give_up_s = self._plan.duration_s + self._options.drain_s
        while self.elapsed_s() < give_up_s:
            is_open = any(driver.is_alive() for driver in drivers)
            if not is_open and not any(tally.open_calls for tally in self._tallies):
                return
            time.sleep(POLL_S)
            if self._options.shows_progress and time.monotonic() - shown_at_s >= PROGRESS_S:
                shown_at_s = time.monotonic()
                states = "  ".join(tally.progress() for tally in self._tallies)
                print(f"{self.elapsed_s():6.1f} s  {states}", file=sys.stderr, flush=True)

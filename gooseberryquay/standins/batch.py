"""Continuous batching of the engine stand-in, run in one thread."""

import threading
import time
from collections.abc import Callable

from gooseberryquay.ids import GenerationId
from gooseberryquay.machines.load_report import LoadReport, UpstreamCondition
from gooseberryquay.standins.cache_events import CacheEventLog
from gooseberryquay.standins.cold_start import ColdStart
from gooseberryquay.standins.engine_messages import EngineCounts
from gooseberryquay.standins.engine_settings import EngineSettings
from gooseberryquay.standins.generation import Generation, GenerationEnd, GenerationRequest
from gooseberryquay.standins.lagged_report import LaggedReport
from gooseberryquay.standins.prefix_cache import CHARACTERS_PER_TOKEN
from gooseberryquay.standins.scheduler import Scheduler, SequenceState

__all__ = ["DecodingBatch"]

IDLE_WAIT_S = 0.25
SWEEP_INTERVAL_S = 0.25
MAX_CATCH_UP_S = 0.02


class DecodingBatch:
    """Decode all running generations step by step; thread-safe."""

    def __init__(
        self, settings: EngineSettings, events: CacheEventLog, crash: Callable[[], None]
    ) -> None:
        now_s = time.monotonic()
        self._settings = settings
        self._crash = crash
        self._changed = threading.Condition()
        self._generations: dict[GenerationId, Generation] = {}
        self._step_s = 0.0
        self._swept_at_s = now_s
        self._is_stopped = False
        self.unpaused = threading.Event()
        self.unpaused.set()
        self.counts = EngineCounts()
        self.scheduler = Scheduler(settings, self.counts, events.record)
        self.cold_start = ColdStart(settings, now_s)
        self.reports = LaggedReport(settings.report_lag_s)
        self.slow_factor = 1.0
        self.wrong_tokens = 0
        self.is_leaving = False
        self.refuses_starts = False
        self._record()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start decoding in a background thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop decoding and abort every unfinished stream."""
        with self._changed:
            self._is_stopped = True
            for generation in self._generations.values():
                generation.finish(GenerationEnd.BROKEN, time.monotonic())
            self._changed.notify_all()

    def submit(self, request: GenerationRequest) -> Generation | None:
        """Queue a new generation; return None if it is refused."""
        with self._changed:
            now_s = time.monotonic()
            self.counts.arrivals += 1
            self.counts.arrivals_while_leaving += self.is_leaving
            is_full = len(self.scheduler.waiting) >= self._settings.queue_max
            if is_full or self.refuses_starts or self._is_stopped:
                self.counts.refused += 1
                return None
            generation = Generation(request, now_s)
            self._generations[request.id] = generation
            self._count_run(request.id)
            prompt_tokens = count_prompt_tokens(request.prompt)
            self.scheduler.add(generation, self.counts.arrivals, prompt_tokens)
            self._count_in_flight(now_s)
            self._record()
            self._changed.notify_all()
            return generation

    def find(self, generation_id: GenerationId) -> Generation | None:
        """Return a running or recently finished generation, or None."""
        with self._changed:
            return self._generations.get(generation_id)

    def cancel(self, generation_id: GenerationId) -> bool:
        """Cancel and remove a generation; return whether it was known."""
        with self._changed:
            generation = self._generations.get(generation_id)
            if generation is None:
                return False
            self._cancel(generation)
            return True

    def report(self) -> LoadReport:
        """Return the load report as of `report_lag_s` ago."""
        with self._changed:
            self._record()
            return self.reports.read(time.monotonic())

    def turn_cold(self, cold_s: float) -> None:
        """Make the engine cold for `cold_s` seconds and evict unused prefix cache blocks."""
        with self._changed:
            self.cold_start.turn_cold(cold_s, time.monotonic())
            self.scheduler.cache.evict_unpinned()

    def copy_counts(self) -> EngineCounts:
        """Return a copy of the counts."""
        with self._changed:
            return self.counts.model_copy(deep=True)

    def _run(self) -> None:
        step_end_s = 0.0
        while self._wait_for_work():
            now_s = time.monotonic()
            if now_s - step_end_s > MAX_CATCH_UP_S:
                step_end_s = now_s
            with self._changed:
                self._step_s = self._begin_step()
            step_end_s += self._step_s
            time.sleep(max(0.0, step_end_s - time.monotonic()))
            self.unpaused.wait()
            with self._changed:
                self._finish_step(time.monotonic())

    def _wait_for_work(self) -> bool:
        with self._changed:
            self._sweep(time.monotonic())
            while not self._is_stopped and self.scheduler.in_flight == 0:
                self._changed.wait(IDLE_WAIT_S)
                self._sweep(time.monotonic())
                # An idle engine turns cold or warm with time alone, so record it here too.
                self._record()
            return not self._is_stopped

    def _begin_step(self) -> float:
        settings = self._settings
        self.scheduler.admit()
        prefill_s = self.scheduler.prefill() * settings.prefill_per_token_s
        decoding = sum(1 for each in self.scheduler.running if each.prefill_tokens == 0)
        step_s = settings.step_base_s + prefill_s + settings.step_per_sequence_s * decoding
        if self.cold_start.is_cold(time.monotonic()):
            step_s *= settings.cold_slow_factor
        return step_s * self.slow_factor

    def _finish_step(self, now_s: float) -> None:
        if self._is_stopped:
            return
        if self.cold_start.is_crashing(self.scheduler.in_flight, now_s):
            self._crash()
            return
        for sequence in tuple(self.scheduler.running):
            if sequence.is_running and sequence.prefill_tokens == 0:
                self._decode_token(sequence, now_s)
        self._record()

    def _decode_token(self, sequence: SequenceState, now_s: float) -> None:
        if not self.scheduler.grow(sequence, now_s):
            return
        generation = sequence.generation
        generation.add_token(self._next_event_id(generation.id))
        self.counts.tokens += 1
        self.cold_start.record_token()
        if sequence.preempted_at_s is not None:
            self.counts.stall_s += now_s - sequence.preempted_at_s
            sequence.preempted_at_s = None
        if generation.request.is_poison and generation.tokens >= self._settings.poison_tokens:
            self._crash()
        if generation.is_complete():
            self.scheduler.remove(sequence)
            self.counts.finished += 1
            generation.finish(GenerationEnd.FINISHED, now_s)

    def _next_event_id(self, generation_id: GenerationId) -> str:
        if self.wrong_tokens == 0:
            return generation_id
        self.wrong_tokens -= 1
        return f"{generation_id}x"

    def _sweep(self, now_s: float) -> None:
        if now_s - self._swept_at_s < SWEEP_INTERVAL_S:
            return
        self._swept_at_s = now_s
        for generation in tuple(self._generations.values()):
            idle_since_s = generation.idle_since_s
            if idle_since_s is None or now_s - idle_since_s < self._settings.hold_s:
                continue
            if generation.end is None:
                self._cancel(generation)
            else:
                self._generations.pop(generation.id, None)

    def _cancel(self, generation: Generation) -> None:
        sequence = self.scheduler.find(generation)
        if sequence is not None:
            self.scheduler.remove(sequence)
            self.counts.cancelled += 1
        generation.finish(GenerationEnd.CANCELLED, time.monotonic())
        self._generations.pop(generation.id, None)
        self._record()

    def _count_run(self, generation_id: GenerationId) -> None:
        runs = self.counts.runs
        runs[generation_id] = runs.get(generation_id, 0) + 1

    def _count_in_flight(self, now_s: float) -> None:
        counts, in_flight = self.counts, self.scheduler.in_flight
        counts.peak_in_flight = max(counts.peak_in_flight, in_flight)
        if self.cold_start.is_cold(now_s):
            counts.peak_cold_in_flight = max(counts.peak_cold_in_flight, in_flight)
        if self.cold_start.is_over_capacity(in_flight, now_s):
            counts.cold_cap_exceeded += 1

    def _record(self) -> None:
        now_s = time.monotonic()
        memory = self.scheduler.memory
        report = LoadReport(
            condition=self._condition(now_s),
            in_flight=self.scheduler.in_flight,
            queued=len(self.scheduler.waiting),
            kv_used_tokens=memory.used_tokens,
            kv_total_tokens=memory.total_tokens,
            step_s=round(self._step_s, 4),
            preemptions=self.counts.preemptions,
        )
        self.reports.record(report, now_s)

    def _condition(self, now_s: float) -> UpstreamCondition:
        if self.is_leaving:
            return UpstreamCondition.LEAVING
        if self.cold_start.is_cold(now_s):
            return UpstreamCondition.COLD
        return UpstreamCondition.WARM


def count_prompt_tokens(prompt: str) -> int:
    """Return the approximate number of tokens in a prompt."""
    return len(prompt) // CHARACTERS_PER_TOKEN + 1

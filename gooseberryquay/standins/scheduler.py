"""Admission, memory allocation and preemption of sequences in the engine stand-in."""

import bisect
from dataclasses import dataclass

from gooseberryquay.standins.engine_messages import EngineCounts
from gooseberryquay.standins.engine_settings import EngineSettings
from gooseberryquay.standins.generation import Generation
from gooseberryquay.standins.kv_memory import BLOCK_TOKENS, KvMemory, blocks_for
from gooseberryquay.standins.prefix_cache import CacheListener, PrefixCache, block_hashes

__all__ = ["Scheduler", "SequenceState"]


@dataclass(eq=False)
class SequenceState:
    """State of one generation in the scheduler, including its memory."""

    generation: Generation
    arrival: int
    prompt_tokens: int
    hashes: tuple[str, ...]
    prefill_tokens: int = 0
    held_blocks: int = 0
    pinned: tuple[str, ...] = ()
    is_running: bool = False
    preempted_at_s: float | None = None

    def priority_key(self) -> tuple[int, int]:
        """Return a sort key that orders the most urgent first, then the oldest."""
        return self.generation.request.priority, self.arrival


class Scheduler:
    """Schedule waiting and running sequences; calls must be serialized by the caller."""

    def __init__(
        self, settings: EngineSettings, counts: EngineCounts, cache_listener: CacheListener
    ) -> None:
        self._settings = settings
        self._counts = counts
        self.cache = PrefixCache(settings.prefix_cache_blocks_max, cache_listener)
        self.memory = KvMemory(settings.kv_blocks, self.cache)
        self.waiting: list[SequenceState] = []
        self.running: list[SequenceState] = []

    @property
    def in_flight(self) -> int:
        """Return the number of unfinished sequences."""
        return len(self.waiting) + len(self.running)

    def add(self, generation: Generation, arrival: int, prompt_tokens: int) -> None:
        """Queue a new sequence."""
        hashes = block_hashes(generation.request.prompt)
        self._queue(SequenceState(generation, arrival, prompt_tokens, hashes))

    def admit(self) -> None:
        """Move waiting sequences into the batch, by priority, as far as memory allows."""
        while self.waiting and len(self.running) < self._settings.batch_max:
            if not self._reserve(self.waiting[0]):
                return
            sequence = self.waiting.pop(0)
            sequence.is_running = True
            self.running.append(sequence)

    def prefill(self) -> int:
        """Prefill prompts within the token budget of one step; return the tokens processed."""
        budget = self._settings.prefill_tokens_per_step
        for sequence in self.running:
            done = min(budget, sequence.prefill_tokens)
            sequence.prefill_tokens -= done
            budget -= done
            if done and sequence.prefill_tokens == 0:
                self._cache_prompt(sequence)
        return self._settings.prefill_tokens_per_step - budget

    def grow(self, sequence: SequenceState, now_s: float) -> bool:
        """Allocate memory for one more token, preempting if needed; return False if preempted."""
        total = sequence.prompt_tokens + sequence.generation.tokens + 1
        missing = blocks_for(total) - len(sequence.pinned) - sequence.held_blocks
        if missing <= 0:
            return True
        while not self.memory.allocate(missing):
            victim = max(self.running, key=SequenceState.priority_key)
            self._preempt(victim, now_s)
            if victim is sequence:
                return False
        sequence.held_blocks += missing
        return True

    def remove(self, sequence: SequenceState) -> None:
        """Remove a sequence that ended and release its memory."""
        if sequence.is_running:
            self.running.remove(sequence)
            self._release(sequence)
        else:
            self.waiting.remove(sequence)

    def find(self, generation: Generation) -> SequenceState | None:
        """Return the unfinished sequence of a generation, or None."""
        for sequence in (*self.running, *self.waiting):
            if sequence.generation is generation:
                return sequence
        return None

    def _queue(self, sequence: SequenceState) -> None:
        bisect.insort(self.waiting, sequence, key=SequenceState.priority_key)

    def _reserve(self, sequence: SequenceState) -> bool:
        pinned = self.cache.pin_prefix(sequence.hashes)
        tokens = sequence.prompt_tokens + sequence.generation.tokens
        needed = blocks_for(tokens + 1) - len(pinned)
        if not self.memory.allocate(needed):
            self.cache.unpin(pinned)
            return False
        sequence.held_blocks = needed
        sequence.pinned = pinned
        sequence.prefill_tokens = max(1, tokens - len(pinned) * BLOCK_TOKENS)
        self._counts.prompt_tokens += tokens
        self._counts.cached_prompt_tokens += len(pinned) * BLOCK_TOKENS
        return True

    def _cache_prompt(self, sequence: SequenceState) -> None:
        added = self.cache.insert(sequence.hashes[len(sequence.pinned) :])
        self.memory.free(len(added))
        sequence.held_blocks -= len(added)
        sequence.pinned += added

    def _preempt(self, victim: SequenceState, now_s: float) -> None:
        self._counts.preemptions += 1
        preempted, name = self._counts.preempted, victim.generation.id
        preempted[name] = preempted.get(name, 0) + 1
        self.running.remove(victim)
        self._release(victim)
        if victim.generation.tokens and victim.preempted_at_s is None:
            victim.preempted_at_s = now_s
        self._queue(victim)

    def _release(self, sequence: SequenceState) -> None:
        self.memory.free(sequence.held_blocks)
        self.cache.unpin(sequence.pinned)
        sequence.held_blocks = 0
        sequence.pinned = ()
        sequence.is_running = False

"""Answers that end with their connection, and engines that leave and answer final copies oddly."""

import random
from collections.abc import Callable

from gooseberryquay.standins.node_platform.site import Site
from gooseberryquay.standins.node_platform.upstream_server import (
    FinalCopyAnswer,
    ModelEngine,
    PlainService,
)

__all__ = ["EndFaults"]

UNFRAMED_SHARE = 0.5
ODD_ANSWER_SHARE = 0.6
FAULT_SHARE = 0.5
LEAVING_MAX = 2
ENGINES_MIN = 2
LEAVE_S = 2.0
NO_ROOM = "503 Service Unavailable"
ODD_ANSWERS = (
    FinalCopyAnswer(delay_s=0.5),
    FinalCopyAnswer(NO_ROOM),
    FinalCopyAnswer(NO_ROOM, delay_s=0.5),
    FinalCopyAnswer(NO_ROOM, has_handle=False),
    FinalCopyAnswer(None),
    FinalCopyAnswer(None, delay_s=0.5),
    FinalCopyAnswer(None, stops_run=False),
    FinalCopyAnswer("404 Not Found", stops_run=False),
    FinalCopyAnswer("409 Conflict", stops_run=False),
    FinalCopyAnswer(is_readable=False),
)


class EndFaults:
    """Inject faults with random draws of its own, and prepare each upstream of a site.

    `schedule` runs an action after a time in seconds.
    """

    def __init__(
        self, seed: int, site: Site, schedule: Callable[[float, Callable[[], object]], None]
    ) -> None:
        self._seed = seed
        self._rng = random.Random(f"ends {seed}")
        self._site = site
        self._schedule = schedule

    def prepare(self, upstream: ModelEngine | PlainService) -> None:
        """Draw whether an upstream frames its answers, and how an engine answers final copies."""
        # Upstreams start in threads of their own, in no order.
        rng = random.Random(f"ends {self._seed} {upstream.id}")
        upstream.is_unframed = rng.random() < UNFRAMED_SHARE
        if isinstance(upstream, ModelEngine) and rng.random() < ODD_ANSWER_SHARE:
            upstream.final_copy_answer = rng.choice(ODD_ANSWERS)

    def inject(self) -> str | None:
        """Let some engines leave and return the name of the fault, or None if none was drawn."""
        if self._rng.random() >= FAULT_SHARE:
            return None
        engines = [each for each in self._site.engines.values() if not each.is_leaving]
        count = min(self._rng.randint(1, LEAVING_MAX), len(engines) - ENGINES_MIN)
        leaving = self._rng.sample(engines, max(0, count))
        for _ in leaving:
            self._site.add_engine()
        for engine in leaving:
            self._leave(engine)
        return f"leave({', '.join(each.id for each in leaving)})"

    def _leave(self, engine: ModelEngine) -> None:
        def remove() -> None:
            if engine.id in self._site.engines:
                self._site.remove(engine.id)

        self._site.announce_leave(engine.id)
        self._schedule(LEAVE_S, remove)

"""Orders to roll out good and bad versions during a soak, and the rules that hold for them."""

import random
import time
from collections.abc import Callable

from gooseberryquay.standins.node_platform.site import Site
from gooseberryquay.standins.node_platform.soak_judges import Rule, Violation

__all__ = ["ROLLOUT_SETTINGS", "RolloutFaults"]

SHARE, ALLOWANCE = 0.1, 50
ROLLBACK_S, SKEW_MAX_S = 5.0, 6.0
ROLLOUT_SETTINGS = (f"bounds.exposure_share={SHARE}", f"bounds.exposure_allowance={ALLOWANCE}")
ORDER_SHARE = 0.5
DURATION_S = 8.0
BAD_SHARE = 0.5
CUT_SHARE = 0.4
# After all faults have ended, a state is written within this time.
STATE_WITHIN_S = 25.0
# Engines of a version that was rolled back drain some seconds later.
DRAIN_AFTER_S = 3.0
POLL_S = 0.1


class RolloutFaults:
    """Order one roll-out after the other, with random draws of its own.

    `schedule` runs an action in a thread, after a time in seconds.
    """

    def __init__(
        self,
        rng: random.Random,
        site: Site,
        schedule: Callable[[float, Callable[[], object]], None],
        report: Callable[[Violation], object],
    ) -> None:
        self._rng = rng
        self._site = site
        self._schedule = schedule
        self._report = report
        self._count = 1
        self._is_open = False

    def inject(self) -> str | None:
        """Order a roll-out and return its name, or None if none was drawn or one is open."""
        if self._is_open or self._rng.random() >= ORDER_SHARE:
            return None
        self._is_open = True
        self._count += 1
        target, is_bad = f"v{self._count}", self._rng.random() < BAD_SHARE
        older = list(self._site.engines)
        began_at_s = time.monotonic()
        self._site.order_rollout(target, DURATION_S)
        newer = [self._site.add_engine(target) for _ in older]
        for each in newer if is_bad else ():
            self._site.engines[each].faults.cut_share = CUT_SHARE
        self._schedule(0.0, lambda: self._follow(target, is_bad, older, newer, began_at_s))
        return f"rollout({target}, {'bad' if is_bad else 'good'})"

    def _follow(
        self, target: str, is_bad: bool, older: list[str], newer: list[str], began_at_s: float
    ) -> None:
        until_s = began_at_s + DURATION_S + STATE_WITHIN_S
        while time.monotonic() < until_s and self._final_states(target) == []:
            time.sleep(POLL_S)
        ended_at_s = time.monotonic()
        match self._final_states(target):
            case ["completed"]:
                self._site.engine_version = target
                # They stop without draining.
                for each in older:
                    self._remove(each)
            case ["rolled_back"]:
                self._drain(newer, ended_at_s)
            case states:
                self._violate(f"{target} has the final states {states}")
                self._drain(newer, ended_at_s)
        if is_bad:
            self._check_exposure(target, older + newer, newer, began_at_s)
        if len(self._final_states(target)) > 1:
            self._violate(f"{target} has the final states {self._final_states(target)}")
        self._is_open = False

    def _final_states(self, target: str) -> list[str]:
        written = self._site.rollout_states()
        return [state for state, each in written if each == target and state != "in_progress"]

    def _check_exposure(
        self, target: str, engines: list[str], newer: list[str], began_at_s: float
    ) -> None:
        if self._final_states(target) == ["completed"]:
            self._violate(f"{target} is bad and was completed")
        deadline_s = began_at_s + DURATION_S
        exposed = self._arrivals(newer, began_at_s, deadline_s)
        requests = self._arrivals(engines, began_at_s, deadline_s)
        if exposed > SHARE * requests + ALLOWANCE:
            self._violate(f"{target} is bad and received {exposed} of {requests} requests")

    def _drain(self, newer: list[str], ended_at_s: float) -> None:
        time.sleep(DRAIN_AFTER_S)
        for each in newer:
            if each in self._site.engines:
                self._site.announce_leave(each)
        time.sleep(ROLLBACK_S + SKEW_MAX_S - DRAIN_AFTER_S)
        late = self._arrivals(newer, ended_at_s + ROLLBACK_S + SKEW_MAX_S, time.monotonic())
        if late:
            self._violate(f"{late} requests arrived at {newer} after their roll-back")
        for each in newer:
            self._remove(each)

    def _arrivals(self, engines: list[str], from_s: float, until_s: float) -> int:
        arrivals = self._site.record.arrivals
        return sum(from_s <= at_s <= until_s for each in engines for at_s in list(arrivals[each]))

    def _remove(self, engine: str) -> None:
        if engine in self._site.engines:
            self._site.remove(engine)

    def _violate(self, text: str) -> None:
        self._report(Violation(Rule.ROLLOUT, text))

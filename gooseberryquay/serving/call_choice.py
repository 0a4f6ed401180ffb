"""Decide where a call to a plain service on shared machines is expected to end first.

Addressed load: many entries, each with few calls, that choose at the same moment among a few
upstreams by equal and late reports, while the speed of each upstream changes within a second.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from gooseberryquay.serving.ports import LoadHint

__all__ = ["CallForecast", "CallTarget", "LateCause", "choose_target", "forecast", "late_cause"]

# The share of an upstream falls with this power of its expected time. Lower powers send too many
# calls to slow upstreams, higher ones let entries with equal reports choose the same upstream.
SHARE_POWER = 8.0
# A refusal while at least half of the slots are free is never right, whatever was expected.
REFUSAL_LOAD_MIN = 0.5
# Callers that return sooner find the same queues.
RETRY_MIN_S = 0.05
# Callers that are refused at the same moment return spread over this share of their wait.
RETRY_SPREAD = 0.5
# Slowdowns below this do not make a call late on their own.
SLOW_MACHINE = 1.5


@dataclass(frozen=True, slots=True)
class CallTarget:
    """Describe what is known of an upstream: own requests and the reported ones of others.

    `report_age_s` is infinite without a report. `certain` is the least number of requests that can
    be there if none arrived since the upstream's own report. `work_s` is the time of one call
    there while none waits, and `extra_s` what is added for a call from another zone.
    """

    slots: int
    own: int
    reported: float
    report_age_s: float
    certain: float
    work_s: float
    extra_s: float = 0.0
    is_avoided: bool = False


@dataclass(frozen=True, slots=True)
class CallForecast:
    """Report the least time until a call can be answered, and the share of slots in use."""

    earliest_s: float
    load: float

    def is_in_time(self, left_s: float) -> bool:
        """Return whether a call may be answered within `left_s`; True while slots are free."""
        return self.load <= REFUSAL_LOAD_MIN or self.earliest_s <= left_s

    def retry_in_s(self, timeout_s: float, pick: float) -> float:
        """Return the time after which a new call is answered within its timeout.

        It is spread by `pick`, from 0 to 1.
        """
        return max(RETRY_MIN_S, self.earliest_s - timeout_s) * (1.0 + RETRY_SPREAD * pick)


class LateCause(Enum):
    """Enumerate what the load in a late response shows of its upstream."""

    QUEUE = "queue"
    SLOW_MACHINE = "slow machine"
    OTHER = "other"


def choose_target(targets: Sequence[CallTarget], pick: float, work_share: float = 1.0) -> int:
    """Return the index of a target, drawn by `pick` from 0 to 1 with shares by expected time.

    `work_share` is the work of this call relative to the mean one.
    """
    reported = _mean_reported_per_slot(targets)
    # An upstream that failed lately is used only if all others have failed too.
    has_choice = not all(target.is_avoided for target in targets)
    shares = []
    for target in targets:
        requests = target.own + _expected_others(target, reported)
        time_s = _time_s(target, requests, work_share) + target.extra_s
        shares.append(0.0 if has_choice and target.is_avoided else time_s**-SHARE_POWER)
    left = pick * sum(shares)
    for index, share in enumerate(shares):
        left -= share
        if left < 0.0:
            return index
    # Rounding may leave a rest after the last share.
    return max(range(len(shares)), key=shares.__getitem__)


def forecast(targets: Sequence[CallTarget], work_share: float = 1.0) -> CallForecast:
    """Return the earliest answer by the requests that are certainly there."""
    earliest_s, taken, slots = math.inf, 0.0, 0
    for target in targets:
        earliest_s = min(earliest_s, _time_s(target, target.certain, work_share))
        taken += min(target.certain, max(1, target.slots))
        slots += max(1, target.slots)
    return CallForecast(earliest_s, taken / slots if slots else 0.0)


def late_cause(load: LoadHint) -> LateCause:
    """Return why a call took longer than its goal, by the load that its response states."""
    if load.waiting > 0:
        return LateCause.QUEUE
    if load.slowdown is not None and load.slowdown >= SLOW_MACHINE:
        return LateCause.SLOW_MACHINE
    return LateCause.OTHER


def _mean_reported_per_slot(targets: Sequence[CallTarget]) -> float:
    slots = sum(max(1, each.slots) for each in targets if each.report_age_s < math.inf)
    return sum(each.reported for each in targets) / slots if slots else 0.0


def _expected_others(target: CallTarget, mean_per_slot: float) -> float:
    """Return the expected requests of others: a report loses its meaning as its queue drains."""
    slots = max(1, target.slots)
    mean = mean_per_slot * slots
    drain_s = target.work_s * (1.0 + target.reported / slots)
    return mean + (target.reported - mean) * math.exp(-target.report_age_s / drain_s)


def _time_s(target: CallTarget, requests: float, work_share: float) -> float:
    slots = max(1, target.slots)
    waiting = max(0.0, requests + 1.0 - slots)
    return target.work_s * (work_share + waiting / slots)

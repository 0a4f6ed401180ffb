"""Decide whether a request may run that was in flight where upstreams died.

Answers load: a request that crashes each upstream that runs it, sent again at any entry, among
sound requests whose upstreams end for other reasons.
"""

from dataclasses import dataclass

from gooseberryquay.machines.suspect_messages import SuspectRecord

__all__ = ["CRASHES_MAX", "Refused", "Runs", "Trial", "Verdict", "verdict_of"]

# The users' bound for requests that crash their upstreams.
CRASHES_MAX = 3
# A request that was wrongly suspected is served again after the first, and one that crashes
# upstreams soon costs one in hours.
FIRST_REST_S = 30.0
REST_FACTOR = 4.0
REST_MAX_S = 6 * 3600.0


@dataclass(frozen=True, slots=True)
class Runs:
    """Let a request run."""


@dataclass(frozen=True, slots=True)
class Trial:
    """Let a request run once among all entries."""


@dataclass(frozen=True, slots=True)
class Refused:
    """Refuse a request for a while."""

    left_s: float
    reason: str


Verdict = Runs | Trial | Refused


def verdict_of(record: SuspectRecord | None, now_s: float, doubt_s: float) -> Verdict:
    """Judge by certain deaths, and by doubtful ones no older than `doubt_s`."""
    if record is None:
        return Runs()
    crashes = record.crash_count()
    if crashes >= CRASHES_MAX:
        left_s = record.last_death_s() + _rest_s(crashes) - now_s
        reason = f"{crashes} upstreams that ran this request have crashed"
        return Refused(left_s, reason) if left_s > 0.0 else Trial()
    doubts = record.uncertain_deaths_since(now_s - doubt_s)
    if crashes + len(doubts) >= CRASHES_MAX:
        left_s = max(0.0, min(each.at_s for each in doubts) + doubt_s - now_s)
        return Refused(left_s, "upstreams that ran this request may have crashed")
    return Runs()


def _rest_s(crashes: int) -> float:
    factor: float = REST_FACTOR ** min(crashes - CRASHES_MAX, 10)
    return min(REST_MAX_S, FIRST_REST_S * factor)

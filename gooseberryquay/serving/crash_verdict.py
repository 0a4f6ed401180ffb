"""Decide whether a request may run that was in flight on upstreams that crashed.

The rule must stop a request that crashes every upstream that runs it and is retried through any
entry, but not valid requests whose upstreams terminate for other reasons.
"""

from dataclasses import dataclass

from gooseberryquay.machines.suspect_messages import SuspectRecord

__all__ = ["CRASHES_MAX", "Allowed", "Refused", "Trial", "Verdict", "verdict_of"]

# The limit that users require for requests that crash their upstreams.
CRASHES_MAX = 3
# A wrongly suspected request is served again after the first cooldown; one that does crash
# upstreams soon costs only one upstream in several hours.
FIRST_COOLDOWN_S = 30.0
COOLDOWN_FACTOR = 4.0
COOLDOWN_MAX_S = 6 * 3600.0


@dataclass(frozen=True, slots=True)
class Allowed:
    """Allow a request to run."""


@dataclass(frozen=True, slots=True)
class Trial:
    """Allow a request to run once across all entries."""


@dataclass(frozen=True, slots=True)
class Refused:
    """Refuse a request for `remaining_s` seconds."""

    remaining_s: float
    reason: str


Verdict = Allowed | Trial | Refused


def verdict_of(record: SuspectRecord | None, now_s: float, uncertain_window_s: float) -> Verdict:
    """Judge a request by certain deaths, and by uncertain ones within `uncertain_window_s`."""
    if record is None:
        return Allowed()
    crashes = record.crash_count()
    if crashes >= CRASHES_MAX:
        remaining_s = record.last_death_s() + _cooldown_s(crashes) - now_s
        reason = f"{crashes} upstreams that ran this request have crashed"
        return Refused(remaining_s, reason) if remaining_s > 0.0 else Trial()
    uncertain_deaths = record.uncertain_deaths_since(now_s - uncertain_window_s)
    if crashes + len(uncertain_deaths) >= CRASHES_MAX:
        remaining_s = max(
            0.0, min(each.at_s for each in uncertain_deaths) + uncertain_window_s - now_s
        )
        return Refused(remaining_s, "upstreams that ran this request may have crashed")
    return Allowed()


def _cooldown_s(crashes: int) -> float:
    factor: float = COOLDOWN_FACTOR ** min(crashes - CRASHES_MAX, 10)
    return min(COOLDOWN_MAX_S, FIRST_COOLDOWN_S * factor)

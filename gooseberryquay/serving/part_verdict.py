"""Decide which parts of prompts crash engines, and whether a request that holds them may run.

A generation that an engine's crash interrupts before it has written more than a few events makes
all its shared parts suspects, but only one of them is the cause. Runs that go well clear their
parts. The parts that explain most of the remaining crashes are convicted; crashes that they
explain do not count against others, which would be blocked together with the cause otherwise.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from gooseberryquay.ids import Fingerprint, UpstreamId
from gooseberryquay.machines.suspect_messages import SuspectRecord
from gooseberryquay.serving.crash_verdict import Allowed, Refused, Trial, Verdict
from gooseberryquay.serving.fingerprint import PART_PREFIX

__all__ = [
    "ConvictedParts",
    "convict_parts",
    "convicted_in",
    "trial_fingerprint_of",
    "verdict_of_parts",
]

# Two below the limit that users require, as requests are in flight when the last one is noticed.
PART_CRASHES_MAX = 3
# A wrongly convicted part is soon tried again, one that keeps crashing engines ever more rarely.
FIRST_COOLDOWN_S = 2.0
COOLDOWN_FACTOR = 4.0
COOLDOWN_MAX_S = 6 * 3600.0
TRIAL_PREFIX = "trial/"


@dataclass(frozen=True, slots=True)
class ConvictedParts:
    """Describe parts that crash engines together: no crash tells one from the other."""

    parts: frozenset[Fingerprint]
    crash_count: int
    last_crash_at_s: float
    cleared_until_s: float

    def is_in(self, parts: Collection[Fingerprint]) -> bool:
        """Return whether a prompt holds all of the parts."""
        return self.parts.issubset(parts)


def convict_parts(
    records: Iterable[SuspectRecord], uncertain_since_s: float
) -> list[ConvictedParts]:
    """Return the fewest parts that explain the crashes, those with most crashes first."""
    by_part = {
        Fingerprint(each.fingerprint): each
        for each in records
        if each.fingerprint.startswith(PART_PREFIX)
    }
    unexplained: dict[Fingerprint, frozenset[UpstreamId]] = {
        part: record.suspected_upstreams(uncertain_since_s) for part, record in by_part.items()
    }
    convicted: list[ConvictedParts] = []
    while unexplained:
        crashes = max(unexplained.values(), key=lambda each: (len(each), sorted(each)))
        if len(crashes) < PART_CRASHES_MAX:
            break
        parts = frozenset(part for part, each in unexplained.items() if each == crashes)
        last_s = max(by_part[part].last_death_s() for part in parts)
        cleared_until_s = max(by_part[part].cleared_until_s for part in parts)
        convicted.append(ConvictedParts(parts, len(crashes), last_s, cleared_until_s))
        unexplained = {
            part: each - crashes for part, each in unexplained.items() if part not in parts
        }
    return convicted


def convicted_in(
    parts: Collection[Fingerprint], convicted: Iterable[ConvictedParts]
) -> ConvictedParts | None:
    """Return the convicted parts that a prompt holds, or None."""
    return next((each for each in convicted if each.is_in(parts)), None)


def trial_fingerprint_of(convicted: ConvictedParts) -> Fingerprint:
    """Return the name under which trials of convicted parts are recorded."""
    return Fingerprint(TRIAL_PREFIX + min(convicted.parts))


def verdict_of_parts(
    convicted: ConvictedParts | None, trials: SuspectRecord | None, now_s: float
) -> Verdict:
    """Judge a request by the convicted parts that it holds and their trials so far."""
    if convicted is None:
        return Allowed()
    deaths = trials.deaths if trials is not None else ()
    tried_at_s = [each.at_s for each in deaths if each.at_s > convicted.cleared_until_s]
    strikes = max(convicted.crash_count, PART_CRASHES_MAX + len(tried_at_s))
    last_s = max(convicted.last_crash_at_s, *tried_at_s, 0.0)
    remaining_s = last_s + _cooldown_s(strikes) - now_s
    if remaining_s <= 0.0:
        return Trial()
    reason = f"{convicted.crash_count} engines have crashed under a part of this prompt"
    return Refused(remaining_s, reason)


def _cooldown_s(crashes: int) -> float:
    factor: float = COOLDOWN_FACTOR ** min(crashes - PART_CRASHES_MAX, 10)
    return min(COOLDOWN_MAX_S, FIRST_COOLDOWN_S * factor)

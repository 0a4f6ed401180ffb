"""Entries that are cut off from all upstreams, and what their callers get meanwhile."""

import http.client
import random
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from gooseberryquay.standins.node_platform.call_result import CallResult
from gooseberryquay.standins.node_platform.entry_history import EntryHistory
from gooseberryquay.standins.node_platform.entry_view import CutManner
from gooseberryquay.standins.node_platform.site import GRACE_S, Site
from gooseberryquay.standins.node_platform.soak_entry import SoakEntry
from gooseberryquay.standins.node_platform.soak_judges import Rule, Violation

__all__ = ["Cut", "CutFaults", "find_unserved_cuts"]

FAULT_SHARE = 0.3
# The users' rule holds from the stable window after the beginning of a cut.
STABLE_WINDOW_S = 3.0
# An entry drains and starts anew within this time of a stop.
DOWN_S = GRACE_S + 2.0
CUT_RANGE_S = (1.0, 7.0)
# Manners in which no new connection opens.
MANNERS = (CutManner.HANG, CutManner.RESET, CutManner.REFUSE_NEW)
SERVED_SHARE_MIN = 2.0 / 3.0
FAILED_MAX, FAILED_SHARE_MAX = 10, 1.0 / 50.0


@dataclass
class Cut:
    """Entries without a link to any upstream, by the ports of their callers."""

    ports: frozenset[int]
    from_s: float
    until_s: float


@dataclass
class CutFaults:
    """Cut some entries, but never all, off from all upstreams, with random draws of its own."""

    rng: random.Random
    site: Site
    entries: list[SoakEntry]
    schedule: Callable[[float, Callable[[], object]], None]
    cuts: list[Cut] = field(default_factory=list)

    def inject(self) -> str | None:
        """Begin a cut and return its name, or None if none was drawn or one is in progress."""
        if self.rng.random() >= FAULT_SHARE:
            return None
        now_s = time.monotonic()
        if any(each.until_s >= now_s for each in self.cuts):
            return None
        chosen = self.rng.sample(self.entries, self.rng.randint(1, len(self.entries) - 1))
        manner = self.rng.choice(MANNERS)
        lasts_s = self.rng.uniform(*CUT_RANGE_S)
        if manner is not CutManner.REFUSE_NEW:
            for upstream in self.site.upstreams():
                upstream.record_broken_link()
        for entry in chosen:
            entry.cut_from_upstreams(manner)
        ports = frozenset(port for each in chosen for port in each.caller_ports)
        self.cuts.append(Cut(ports, now_s, now_s + lasts_s))
        self.schedule(lasts_s, lambda: _heal(chosen))
        return f"cut({', '.join(each.ports.name for each in chosen)}, {manner.value})"


def _heal(entries: Iterable[SoakEntry]) -> None:
    for each in entries:
        each.heal_upstream_links()


def find_unserved_cuts(
    cuts: Iterable[Cut], results: list[CallResult], histories: Mapping[int, EntryHistory]
) -> Iterator[Violation]:
    """Return each cut in which the cut entries served far fewer requests than the others."""
    for cut in cuts:
        from_s = cut.from_s + STABLE_WINDOW_S
        tries = [
            each
            for each in results
            if from_s <= each.began_at_s
            and each.ended_at_s <= cut.until_s
            and not _is_disturbed(each, histories[each.port])
        ]
        at_cut = [each for each in tries if each.port in cut.ports]
        at_others = [each for each in tries if each.port not in cut.ports]
        if not at_cut or not at_others:
            continue
        share, share_of_others = _served_share(at_cut), _served_share(at_others)
        failed = (1.0 - share) * len(at_cut)
        is_too_many = failed > FAILED_MAX + FAILED_SHARE_MAX * len(tries)
        if is_too_many and share < SERVED_SHARE_MIN * share_of_others:
            text = (
                f"entries that reached no upstream served {share:.2f} of {len(at_cut)} requests, "
                f"the others {share_of_others:.2f} of {len(at_others)}"
            )
            yield Violation(Rule.RECOVER, text, began_at_s=from_s, ended_at_s=cut.until_s)


def _is_disturbed(result: CallResult, history: EntryHistory) -> bool:
    """Return whether a stop or disruption was in the stable window before or meanwhile."""
    since_s = result.began_at_s - STABLE_WINDOW_S
    is_stopped = any(since_s - DOWN_S <= each <= result.ended_at_s for each in history.stops)
    return is_stopped or history.is_disrupted(since_s, result.ended_at_s, result.port)


def _served_share(results: list[CallResult]) -> float:
    return sum(each.status == http.client.OK for each in results) / len(results)

"""Callers whose prompts share parts, some of which hold the part that crashes engines."""

import itertools
import threading
import time
from dataclasses import dataclass, field

from gooseberryquay.daemons.tests.platform_builders import send_request

# Bounds of the requirement on parts of prompts that crash engines.
CRASHES_UNTIL_BLOCKED = 5
STABLE_WINDOW_S = 3.0
LATE_REQUESTS_MAX = 3
# Callers of sound requests are to notice nothing, but for those that run where an engine ends.
SOUND_SERVED_MIN = 0.9
BAD, FIRST, OTHER = "bad0", "aa01", "bb02"
ENTRIES = 3

_NUMBERS = itertools.count()


@dataclass
class PromptCallers:
    """Send requests that differ in their bodies and last parts, and share `shared_parts`."""

    ports: list
    path: str
    shared_parts: tuple
    concurrency: int = 3
    pause_s: float = 0.15
    responses: list = field(default_factory=list)

    def run(self, duration_s):
        """Send from `concurrency` callers for `duration_s`; return this run's responses."""
        until_s = time.monotonic() + duration_s
        before = len(self.responses)
        callers = [
            threading.Thread(target=self._call, args=(number, until_s))
            for number in range(self.concurrency)
        ]
        for each in callers:
            each.start()
        for each in callers:
            each.join()
        return self.responses[before:]

    def _call(self, number, until_s):
        while time.monotonic() < until_s:
            own = next(_NUMBERS)
            parts = ",".join([*(f"{each}:20" for each in self.shared_parts), f"f{own:x}:10"])
            sent = send_request(
                self.ports[number % len(self.ports)],
                self.path,
                f"prompt {own}".encode(),
                X_Prompt_Prefix=parts,
            )
            self.responses.append(sent)
            number += 1
            time.sleep(self.pause_s)


def run_together(duration_s, *groups):
    """Run several groups of callers at the same time."""
    threads = [threading.Thread(target=each.run, args=(duration_s,)) for each in groups]
    for each in threads:
        each.start()
    for each in threads:
        each.join()


def share_served(responses):
    """Return the share of requests that were answered with success."""
    return sum(each.status == 200 for each in responses) / len(responses)


def prompt_callers(entries, path, *parts, **changes):
    """Return callers of all entries whose prompts hold some parts."""
    return PromptCallers([each.ports.callers for each in entries], path, parts, **changes)


def check_blocked(site, sound):
    """Check the bound, and that sound requests with the other parts are served."""
    crashes = sorted(site.record.crashes)
    assert len(crashes) >= 3
    if len(crashes) >= CRASHES_UNTIL_BLOCKED:
        blocked_at_s = crashes[CRASHES_UNTIL_BLOCKED - 1] + STABLE_WINDOW_S
        late = [each for each in site.record.crash_request_arrivals if each > blocked_at_s]
        assert len(late) <= LATE_REQUESTS_MAX
    assert share_served(sound.run(STABLE_WINDOW_S)) >= SOUND_SERVED_MIN


def check_part_is_blocked(site, entries, path, parts):
    """Check that prompts with the crashing part are refused and their neighbors served."""
    bad = prompt_callers(entries, path, *parts)
    sound = prompt_callers(entries, path, *[each for each in parts if each != BAD])
    run_together(2 * STABLE_WINDOW_S + 3.0, bad, sound)
    check_blocked(site, sound)
    assert bad.responses[-1].refusal == "crashes_upstreams"
    assert bad.responses[-1].status == 503 and float(bad.responses[-1].retry_after) > 0

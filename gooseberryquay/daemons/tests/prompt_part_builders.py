"""Callers whose prompts share parts, some of which hold the part that crashes engines."""

import itertools
import threading
import time
from dataclasses import dataclass, field

from gooseberryquay.daemons.tests.platform_builders import send_request

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

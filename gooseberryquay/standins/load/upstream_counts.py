"""Counts of the upstream stand-ins, gathered before and after a run."""

import threading
from collections.abc import Sequence

from pydantic import ValidationError
from result import Ok

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.http_client import HttpClient
from gooseberryquay.standins.engine_messages import EngineCounts
from gooseberryquay.standins.load.summary import UpstreamSummary

__all__ = ["UpstreamGauge"]

READ_TIMEOUT_S = 10.0


class UpstreamGauge:
    """Read counts of engines and plain services and sum what a run added.

    An upstream that dies takes the counts of that run with it and is counted as unreachable.
    """

    def __init__(self, addresses: Sequence[Address]) -> None:
        self._addresses = addresses
        self._before = [EngineCounts() for _ in addresses]

    def start(self) -> None:
        """Remember the counts before the run."""
        self._before = [each or EngineCounts() for each in self._read_all()]

    def summary(self) -> UpstreamSummary:
        """Sum what was counted since the start."""
        total = UpstreamSummary()
        for before, after in zip(self._before, self._read_all(), strict=True):
            if after is None:
                total.unreachable += 1
            else:
                _add(total, before, after)
        return total

    def _read_all(self) -> list[EngineCounts | None]:
        found: list[EngineCounts | None] = [None] * len(self._addresses)

        def read(number: int, address: Address) -> None:
            found[number] = _read_counts(address)

        threads = [threading.Thread(target=read, args=pair) for pair in enumerate(self._addresses)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return found


def _read_counts(address: Address) -> EngineCounts | None:
    client = HttpClient(address.host, address.port, read_timeout_s=READ_TIMEOUT_S)
    sent = client.send("GET", "/standin/counts")
    client.close()
    match sent:
        case Ok(reply):
            try:
                return EngineCounts.model_validate_json(reply.body)
            except ValidationError:
                return None
        case _:
            return None


def _add(total: UpstreamSummary, before: EngineCounts, after: EngineCounts) -> None:
    for key, runs in after.runs.items():
        added = runs - before.runs.get(key, 0)
        total.runs += added
        total.duplicate_runs += max(0, min(added, runs - 1))
    total.tokens += after.tokens - before.tokens
    total.preemptions += after.preemptions - before.preemptions
    total.stall_s += after.stall_s - before.stall_s
    total.cold_cap_exceeded += after.cold_cap_exceeded - before.cold_cap_exceeded
    total.cancelled += after.cancelled - before.cancelled
    total.prompt_tokens += after.prompt_tokens - before.prompt_tokens
    total.cached_prompt_tokens += after.cached_prompt_tokens - before.cached_prompt_tokens

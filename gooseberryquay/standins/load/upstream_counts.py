"""Difference of the upstream stand-ins' counts before and after a run."""

from collections import Counter
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor

from pydantic import ValidationError
from result import Ok

from gooseberryquay.contracts.fields import Address
from gooseberryquay.links.http_client import HttpClient
from gooseberryquay.standins.engine_messages import EngineCounts
from gooseberryquay.standins.load.summary import UpstreamSummary

__all__ = ["UpstreamCountsDelta"]

READ_TIMEOUT_S = 10.0


class UpstreamCounts(EngineCounts):
    """Counts of an engine or, with `keyed_runs`, of a plain service."""

    keyed_runs: dict[str, int] | None = None

    def at_most_once_runs(self) -> dict[str, int]:
        """Return the run counts of the operations that must run at most once."""
        return self.runs if self.keyed_runs is None else self.keyed_runs


class UpstreamCountsDelta:
    """Read the counts of engines and plain services and sum the increase during a run.

    The counts of an upstream that died are lost; it is counted as unreachable.
    """

    def __init__(self, addresses: Sequence[Address]) -> None:
        self._addresses = addresses
        self._before = [UpstreamCounts() for _ in addresses]

    def start(self) -> None:
        """Read the counts before the run."""
        self._before = [each or UpstreamCounts() for each in self._read_all()]

    def summary(self) -> UpstreamSummary:
        """Return the sum of the increases since the start."""
        total = UpstreamSummary()
        reachable = []
        for before, after in zip(self._before, self._read_all(), strict=True):
            if after is None:
                total.unreachable += 1
                continue
            # A restarted upstream counts from zero.
            baseline = before if after.arrivals >= before.arrivals else UpstreamCounts()
            _add(total, baseline, after)
            reachable.append((baseline, after))
        earlier = _count_duplicates([before for before, _ in reachable])
        total.duplicate_runs = _count_duplicates([after for _, after in reachable]) - earlier
        return total

    def _read_all(self) -> list[UpstreamCounts | None]:
        if not self._addresses:
            return []
        with ThreadPoolExecutor(len(self._addresses)) as pool:
            return list(pool.map(_read_counts, self._addresses))


def _read_counts(address: Address) -> UpstreamCounts | None:
    client = HttpClient(address.host, address.port, read_timeout_s=READ_TIMEOUT_S)
    sent = client.send("GET", "/standin/counts")
    client.close()
    match sent:
        case Ok(reply):
            try:
                return UpstreamCounts.model_validate_json(reply.body)
            except ValidationError:
                return None
        case _:
            return None


def _count_duplicates(counts: Sequence[UpstreamCounts]) -> int:
    runs: Counter[str] = Counter()
    for each in counts:
        runs.update(each.at_most_once_runs())
    return sum(count - 1 for count in runs.values())


def _add(total: UpstreamSummary, before: UpstreamCounts, after: UpstreamCounts) -> None:
    total.runs += sum(after.runs.values()) - sum(before.runs.values())
    total.tokens += after.tokens - before.tokens
    total.preemptions += after.preemptions - before.preemptions
    total.stall_s += after.stall_s - before.stall_s
    total.cold_cap_exceeded += after.cold_cap_exceeded - before.cold_cap_exceeded
    total.cancelled += after.cancelled - before.cancelled
    total.prompt_tokens += after.prompt_tokens - before.prompt_tokens
    total.cached_prompt_tokens += after.cached_prompt_tokens - before.cached_prompt_tokens

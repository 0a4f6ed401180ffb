"""Run a load plan in several processes, since the token rate of one process is limited."""

import sys
import time
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor

from pydantic import BaseModel, TypeAdapter

from gooseberryquay.standins.load.arrivals import LoadPlan
from gooseberryquay.standins.load.run import LoadRun
from gooseberryquay.standins.load.snapshot import TallySnapshot, merge_snapshots
from gooseberryquay.standins.load.summary import VariantSummary
from gooseberryquay.standins.load.upstream_counts import UpstreamCountsDelta
from gooseberryquay.standins.load.variant import DEFAULT_OPTIONS, LoadOptions, Shard, Variant
from gooseberryquay.standins.process import run_command

__all__ = ["ShardRequest", "ShardedLoadRun", "run_shard"]

START_DELAY_S = 3.0


class ShardRequest(BaseModel):
    """Request to run one shard; `started_at_s` is on the monotonic clock of the machine."""

    plan: LoadPlan
    variants: tuple[Variant, ...]
    options: LoadOptions
    shard: Shard
    run_number: int
    started_at_s: float


_SNAPSHOTS: TypeAdapter[list[TallySnapshot]] = TypeAdapter(list[TallySnapshot])


class ShardedLoadRun:
    """Send the calls of a plan from several processes and merge their results."""

    def __init__(
        self,
        plan: LoadPlan,
        variants: Sequence[Variant],
        options: LoadOptions = DEFAULT_OPTIONS,
        processes: int = 4,
    ) -> None:
        self._plan = plan
        self._variants = tuple(variants)
        self._options = options
        self._processes = processes
        self._started_at_s = 0.0

    def run(self) -> list[VariantSummary]:
        """Send the calls, wait until they end and return the summary of each variant."""
        deltas = [UpstreamCountsDelta(each.upstreams) for each in self._variants]
        for delta in deltas:
            delta.start()
        self._started_at_s = time.monotonic() + START_DELAY_S
        with ThreadPoolExecutor(self._processes) as pool:
            parts = list(pool.map(self._run_shard, range(self._processes)))
        summaries = [merge_snapshots(part) for part in zip(*parts, strict=True)]
        for summary, variant, delta in zip(summaries, self._variants, deltas, strict=True):
            if variant.upstreams:
                summary.upstreams = delta.summary()
        return summaries

    def elapsed_s(self) -> float:
        """Return the time since the start of the run, in seconds."""
        return time.monotonic() - self._started_at_s

    def _run_shard(self, index: int) -> list[TallySnapshot]:
        request = ShardRequest(
            plan=self._plan,
            variants=self._variants,
            options=self._options,
            shard=Shard(index, self._processes),
            run_number=int(self._started_at_s * 1000),
            started_at_s=self._started_at_s,
        )
        output = run_command("standin", "load_shard", text=request.model_dump_json())
        return _SNAPSHOTS.validate_json(output)


def run_shard() -> None:
    """Read a shard request from standard input, run it and print the snapshots as JSON."""
    request = ShardRequest.model_validate_json(sys.stdin.read())
    run = LoadRun(request.plan, request.variants, request.options, request.shard)
    snapshots = run.run_from(request.started_at_s, request.run_number)
    print(_SNAPSHOTS.dump_json(snapshots).decode())

"""Commands that run a posting node and the experiments on postings."""

import json
import sys
from typing import Any

from gooseberryquay.daemons.serving import serve_until_signal
from gooseberryquay.standins.posting_fleet.cost import CostOptions, measure_costs
from gooseberryquay.standins.posting_fleet.history import ScheduleOptions, run_schedule
from gooseberryquay.standins.posting_fleet.node import NodeOptions, PostingNode
from gooseberryquay.standins.posting_fleet.verdict import format_totals

__all__ = ["PostingFleetCommands"]


class PostingFleetCommands:
    """Run posting nodes and their experiments."""

    def posting_node(self, options: Any) -> None:
        """Serve one posting executor; the options are a JSON object."""
        text = options if isinstance(options, str) else json.dumps(options)
        serve_until_signal(PostingNode(NodeOptions.model_validate_json(text)))

    def posting_history(
        self, schedules: int = 50, postings: int = 45, nodes: int = 4, seed: int = 1
    ) -> None:
        """Run seeded fault schedules and check the history of each key; exit 1 on a violation."""
        verdicts = []
        for number in range(seed, seed + schedules):
            verdicts.append(run_schedule(ScheduleOptions(number, postings, nodes)))
            print(verdicts[-1], flush=True)
        print(format_totals(verdicts))
        if not all(verdict.is_correct() for verdict in verdicts):
            sys.exit(1)

    def posting_cost(
        self,
        rates: tuple[float, ...] = (1, 10, 100, 400),
        nodes: int = 8,
        seconds: float = 10,
        seed: int = 1,
        writes_per_s: float = 400,
    ) -> None:
        """Measure platform writes, latency and CPU time of a posting for each claim store."""
        options = CostOptions(nodes, seconds, seed, writes_per_s)
        for row in measure_costs(tuple(rates), options):
            print(row, flush=True)

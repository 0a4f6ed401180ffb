"""Load and experiment tool: the same seeded open-loop callers for several variants at once.

LoadRun         runs a plan of arrivals against each variant and gives their summaries
ShardedLoadRun  does so from several processes
LoadPlan        sets rate, mix, lengths and deadlines of the arrivals
"""

from gooseberryquay.standins.load.arrivals import Arrival, LoadPlan, plan_arrivals
from gooseberryquay.standins.load.run import LoadRun
from gooseberryquay.standins.load.sharded_run import ShardedLoadRun
from gooseberryquay.standins.load.summary import VariantSummary
from gooseberryquay.standins.load.variant import LoadOptions, Variant

__all__ = [
    "Arrival",
    "LoadOptions",
    "LoadPlan",
    "LoadRun",
    "ShardedLoadRun",
    "Variant",
    "VariantSummary",
    "plan_arrivals",
]

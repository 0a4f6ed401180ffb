"""Open-loop load generator that sends the same seeded calls to several variants concurrently.

LoadRun         sends the calls of a plan to each variant and returns their summaries
ShardedLoadRun  does the same from several processes
LoadPlan        sets rate, mix, lengths and deadlines of the calls
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

"""Load and experiment tool: the same seeded open-loop callers for several variants at once.

LoadRun   runs a plan of arrivals against each variant and gives their summaries
LoadPlan  sets rate, mix, lengths and deadlines of the arrivals
"""

from gooseberryquay.standins.load.arrivals import Arrival, LoadPlan, plan_arrivals
from gooseberryquay.standins.load.run import LoadOptions, LoadRun, Variant
from gooseberryquay.standins.load.summary import VariantSummary

__all__ = [
    "Arrival",
    "LoadOptions",
    "LoadPlan",
    "LoadRun",
    "Variant",
    "VariantSummary",
    "plan_arrivals",
]

"""Fleet and load at the current size, and the rate that fills the KV cache of the engines."""

from math import exp

from gooseberryquay.ids import ServiceId, WorkspaceId
from gooseberryquay.standins.fleet_plan import FleetPlan
from gooseberryquay.standins.load.arrivals import LoadPlan

__all__ = ["build_fleet_plan", "build_load_plan", "full_memory_rate_per_s"]

ENTRIES = 8
ENGINES = 9
SERVICES = 3
KV_BLOCKS = 512
BLOCK_TOKENS = 16
STEP_BASE_S = 0.03
STEP_PER_SEQUENCE_S = 0.0005
TYPICAL_STEP_S = 0.037
PROMPT_TOKENS = 300.0
SUMMARY_TOKENS = 150.0
SUMMARY_SIGMA = 0.9
SUMMARY_SHARE = 0.3
CHECK_SHARE = 0.4
WORKSPACES = tuple(WorkspaceId(f"workspace-{number}") for number in range(1, 11))


def build_fleet_plan(rule: str, report_lag_s: float) -> FleetPlan:
    """Return a plan of eight entries, nine engines and three plain services in three zones."""
    return FleetPlan(
        entries=ENTRIES,
        engines=ENGINES,
        services=SERVICES,
        workspaces=WORKSPACES,
        engine_options={
            "kv_blocks": KV_BLOCKS,
            "step_base_s": STEP_BASE_S,
            "step_per_sequence_s": STEP_PER_SEQUENCE_S,
            "report_lag_s": report_lag_s,
        },
        choice={"rule": rule},
    )


def build_load_plan(load: float, duration_s: float, seed: int) -> LoadPlan:
    """Return the mix of calls at a fraction `load` of the rate that fills all KV cache."""
    return LoadPlan(
        workspaces=WORKSPACES,
        model=ServiceId("yield-model"),
        plain_service=ServiceId("ledger-app"),
        rate_per_s=load * full_memory_rate_per_s(),
        duration_s=duration_s,
        seed=seed,
        summary_share=SUMMARY_SHARE,
        check_share=CHECK_SHARE,
        summary_tokens_median=SUMMARY_TOKENS,
        summary_tokens_sigma=SUMMARY_SIGMA,
        prompt_tokens_median=PROMPT_TOKENS,
    )


def full_memory_rate_per_s() -> float:
    """Return the rate of all calls at which the mean KV cache in use equals its total size.

    A summary of L tokens occupies PROMPT_TOKENS x L + L^2 / 2 token-steps; L is lognormal.
    """
    mean_tokens = SUMMARY_TOKENS * exp(SUMMARY_SIGMA**2 / 2)
    mean_square = SUMMARY_TOKENS**2 * exp(2 * SUMMARY_SIGMA**2)
    token_steps = PROMPT_TOKENS * mean_tokens + mean_square / 2
    memory_tokens = ENGINES * KV_BLOCKS * BLOCK_TOKENS
    return memory_tokens / (SUMMARY_SHARE * token_steps * TYPICAL_STEP_S)

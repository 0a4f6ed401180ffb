"""Settings of the engine stand-in."""

from dataclasses import dataclass

__all__ = ["EngineSettings"]


@dataclass(frozen=True)
class EngineSettings:
    """Speed, memory, cold start and reporting of one engine stand-in.

    With `cold_s` 0 the engine starts warm. With `cold_tokens` it also becomes warm once it has
    served that many tokens.
    """

    seed: int = 1
    step_base_s: float = 0.020
    step_per_sequence_s: float = 0.0004
    prefill_per_token_s: float = 0.00005
    prefill_tokens_per_step: int = 1024
    batch_max: int = 256
    queue_max: int = 4096
    kv_blocks: int = 8192
    prefix_cache_blocks_max: int = 2048
    output_tokens_median: float = 120.0
    output_tokens_sigma: float = 1.2
    output_tokens_max: int = 32_768
    hold_s: float = 10.0
    cold_s: float = 0.0
    cold_tokens: int = 0
    cold_capacity: int = 2
    cold_slow_factor: float = 3.0
    overload_grace_s: float = 0.5
    report_lag_s: float = 0.0
    event_lag_s: float = 1.0
    event_drop_ratio: float = 0.1
    order_s: float = 1.0
    checks_fencing: bool = True
    poison_marker: str = "crash-the-engine"
    poison_tokens: int = 3

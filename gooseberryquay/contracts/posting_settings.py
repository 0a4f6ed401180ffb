"""Settings of postings; those of the layout must be equal at all entries of a deployment."""

from typing import Annotated

from pydantic import Field

from gooseberryquay.contracts.fields import FrozenModel

__all__ = ["PostingSettings"]


class PostingSettings(FrozenModel):
    """Set the layout of the claim logs, their bounds and their timeouts."""

    shard_count: Annotated[int, Field(ge=1, le=4096)] = 16
    bucket_s: Annotated[int, Field(ge=10)] = 60
    horizon_s: Annotated[float, Field(gt=0)] = 7 * 24 * 3600.0
    clock_skew_s: Annotated[float, Field(ge=0)] = 60.0
    head_bytes_max: Annotated[int, Field(ge=1024)] = 32 * 1024
    answer_bytes_max: Annotated[int, Field(ge=0)] = 2048
    untimed_keys_max: Annotated[int, Field(ge=0)] = 200_000
    index_bytes_max: Annotated[int, Field(ge=1024)] = 48 * 1024 * 1024
    write_interval_s: Annotated[float, Field(ge=0)] = 0.05
    owner_timeout_s: Annotated[float, Field(gt=0)] = 1.5
    claim_timeout_s: Annotated[float, Field(gt=0)] = 3.0
    record_timeout_s: Annotated[float, Field(gt=0)] = 2.0
    running_s: Annotated[float, Field(gt=0)] = 60.0
    witness_peers_max: Annotated[int, Field(ge=0)] = 16
    witness_timeout_s: Annotated[float, Field(gt=0)] = 0.3
    witness_keys_max: Annotated[int, Field(ge=1)] = 50_000
    backlog_max: Annotated[int, Field(ge=1)] = 10_000

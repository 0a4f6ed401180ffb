"""Validated settings of one process: the declaration and its own settings."""

from dataclasses import dataclass
from enum import Enum
from typing import Annotated

from pydantic import Field

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.contracts.fields import Address, AddressField, FrozenModel
from gooseberryquay.contracts.posting_settings import PostingSettings
from gooseberryquay.ids import EntryId, SiteId, ZoneId

__all__ = [
    "Address",
    "ChoiceRule",
    "ChoiceSettings",
    "EntrySettings",
    "LimitSettings",
    "LogSettings",
    "PlatformSettings",
    "Settings",
    "SettingsProblem",
    "SiteSettings",
    "StatsdSettings",
]


class EntrySettings(FrozenModel):
    """Set one entry's availability zone and addresses."""

    id: EntryId
    zone: ZoneId
    address: AddressField
    control_address: AddressField


class PlatformSettings(FrozenModel):
    """Set where the platform's object API listens."""

    address: AddressField


class SiteSettings(FrozenModel):
    """Name the site that an overlay is for."""

    name: SiteId


class StatsdSettings(FrozenModel):
    """Set where metrics go; without an address none are sent."""

    address: AddressField | None = None
    prefix: str = "gooseberryquay"


class LogSettings(FrozenModel):
    """Set how much is logged."""

    level: Annotated[str, Field(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


class LimitSettings(FrozenModel):
    """Bound what callers may send and how long things may take."""

    body_bytes_max: Annotated[int, Field(ge=1024)] = 1024 * 1024
    key_length_max: Annotated[int, Field(ge=16, le=1024)] = 200
    queue_length_max: Annotated[int, Field(ge=1)] = 2000
    stream_idle_timeout_s: Annotated[float, Field(gt=0)] = 5.0
    leave_notice_s: Annotated[float, Field(ge=0)] = 1.0
    drain_timeout_s: Annotated[float, Field(gt=0)] = 1800.0
    retry_budget_ratio: Annotated[float, Field(ge=0, le=1)] = 0.1
    crash_count_max: Annotated[int, Field(ge=1, le=10)] = 2


class ChoiceRule(Enum):
    """Name a load balancing policy."""

    ROUND_ROBIN = "round_robin"
    LEAST_IN_FLIGHT = "least_in_flight"
    POWER_OF_TWO = "power_of_two"
    EXPECTED_MEMORY = "expected_memory"


class ChoiceSettings(FrozenModel):
    """Set how upstreams are chosen and how long requests may queue.

    `queue_patience` bounds the queueing time, as a multiple of the service's `first_token_s`.
    """

    rule: ChoiceRule = ChoiceRule.EXPECTED_MEMORY
    sample_count: Annotated[int, Field(ge=1, le=64)] = 8
    memory_share_max: Annotated[float, Field(gt=0, le=1)] = 0.8
    quick_memory_share_max: Annotated[float, Field(gt=0, le=1)] = 0.9
    quick_tokens_max: Annotated[int, Field(ge=1)] = 64
    queue_patience: Annotated[float, Field(gt=0)] = 1.0
    length_scale: Annotated[float, Field(gt=0, le=100)] = 1.0
    subset_size: Annotated[int, Field(ge=1)] = 12
    poll_bytes_per_s: Annotated[int, Field(ge=100)] = 2000


@dataclass(frozen=True)
class SettingsProblem:
    """Describe an error in a settings file: where it is and what is allowed."""

    file: str
    section: str
    key: str
    value: str
    reason: str

    def __str__(self) -> str:
        section = f": [{self.section}]" if self.section else ""
        setting = f" {self.key} = {self.value!r}" if self.key else ""
        return f"{self.file}{section}{setting}: {self.reason}"


class Settings(FrozenModel):
    """Represent the settings of one process, from its base file and overlay."""

    declaration: Declaration
    site: SiteSettings | None = None
    entries: dict[EntryId, EntrySettings] = Field(default_factory=dict)
    platform: PlatformSettings | None = None
    statsd: StatsdSettings = StatsdSettings()
    log: LogSettings = LogSettings()
    limits: LimitSettings = LimitSettings()
    postings: PostingSettings = PostingSettings()
    choice: ChoiceSettings = ChoiceSettings()

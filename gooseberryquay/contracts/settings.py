"""Checked settings of one process: the declaration plus what is its own."""

from dataclasses import dataclass
from typing import Annotated

from pydantic import Field

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.contracts.fields import Address, AddressField, Model
from gooseberryquay.ids import EntryId, SiteId, ZoneId

__all__ = [
    "Address",
    "EntrySettings",
    "LimitSettings",
    "LogSettings",
    "PlatformSettings",
    "Settings",
    "SettingsProblem",
    "SiteSettings",
    "StatsdSettings",
]


class EntrySettings(Model):
    """Set one entry's availability zone and addresses."""

    id: EntryId
    zone: ZoneId
    address: AddressField
    control_address: AddressField


class PlatformSettings(Model):
    """Set where the platform's object API listens."""

    address: AddressField


class SiteSettings(Model):
    """Name the site that an overlay is for."""

    name: SiteId


class StatsdSettings(Model):
    """Set where metrics go; without an address none are sent."""

    address: AddressField | None = None
    prefix: str = "gooseberryquay"


class LogSettings(Model):
    """Set how much is logged."""

    level: Annotated[str, Field(pattern="^(DEBUG|INFO|WARNING|ERROR)$")] = "INFO"


class LimitSettings(Model):
    """Bound what callers may send and how long things may take."""

    body_bytes_max: Annotated[int, Field(ge=1024)] = 1024 * 1024
    key_length_max: Annotated[int, Field(ge=16, le=1024)] = 200
    queue_length_max: Annotated[int, Field(ge=1)] = 2000
    stream_idle_timeout_s: Annotated[float, Field(gt=0)] = 5.0
    drain_timeout_s: Annotated[float, Field(gt=0)] = 1800.0
    claim_horizon_s: Annotated[float, Field(gt=0)] = 7 * 24 * 3600.0
    retry_budget_ratio: Annotated[float, Field(ge=0, le=1)] = 0.1
    crash_count_max: Annotated[int, Field(ge=1, le=10)] = 2


@dataclass(frozen=True)
class SettingsProblem:
    """Locate one mistake in a settings file and say what is allowed."""

    file: str
    section: str
    key: str
    value: str
    reason: str

    def __str__(self) -> str:
        return f"{self.file}: [{self.section}] {self.key} = {self.value!r}: {self.reason}"


class Settings(Model):
    """Hold everything one process was told by its base file and overlay."""

    declaration: Declaration
    site: SiteSettings | None = None
    entries: dict[EntryId, EntrySettings] = Field(default_factory=dict)
    platform: PlatformSettings | None = None
    statsd: StatsdSettings = StatsdSettings()
    log: LogSettings = LogSettings()
    limits: LimitSettings = LimitSettings()

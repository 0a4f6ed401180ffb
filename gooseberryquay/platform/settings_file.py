"""Parser of the platform's settings file: `a.b=value` lines, comma-separated lists."""

from collections.abc import Callable, Mapping
from typing import TypeVar

from result import Err, Ok, Result

from gooseberryquay.contracts.fields import Address, parse_address
from gooseberryquay.contracts.node_settings import (
    CALLER_LIMIT_SETTINGS,
    NodeBounds,
    NodeSettings,
    RolloutBounds,
)
from gooseberryquay.contracts.settings import SettingsProblem
from gooseberryquay.ids import EntryId, ZoneId

__all__ = ["SETTINGS_VARIABLE", "read_settings"]

SETTINGS_VARIABLE = "GOOSEBERRYQUAY_SETTINGS"
MS_PER_S = 1000.0
T = TypeVar("T")
# Defaults of the fields that may be omitted; a deployment without a rule omits its bounds.
DEFAULTS = {
    "bounds.grace_s": "8",
    "bounds.drain_ms": "2000",
    "bounds.evacuation_ms": "5000",
    "bounds.config_apply_ms": "2000",
    "bounds.retry_ratio": "0.2",
    "bounds.retry_window_s": "10",
    "bounds.retry_allowance": "50",
    "bounds.cold_overage": "1.5",
    "bounds.cold_allowance": "5",
    "limits.link_mbps": "10",
    # In effect only where bounds.exposure_share is set.
    "bounds.exposure_allowance": "50",
    "bounds.rollback_ms": "5000",
    "bounds.max_skew_ms": "6000",
    "heartbeat_ms": "1200",
    "seeds": "",
    **{name: default for name, default, _ in CALLER_LIMIT_SETTINGS},
}


def read_settings(path: str) -> Result[NodeSettings, SettingsProblem]:
    """Read and validate a settings file; the problem names the field that is at fault."""
    try:
        with open(path, encoding="utf-8") as file:
            values = _values_of(file.read())
    except (OSError, UnicodeDecodeError) as error:
        return Err(SettingsProblem(path, "", "", "", str(error)))
    try:
        return Ok(_settings_of(_Fields(path, values)))
    except _FieldError as error:
        return Err(error.problem)


class _FieldError(Exception):
    def __init__(self, problem: SettingsProblem) -> None:
        super().__init__(str(problem))
        self.problem = problem


class _Fields:
    """Parse single fields; raises `_FieldError` for one that is missing or malformed."""

    def __init__(self, path: str, values: Mapping[str, str]) -> None:
        self._path = path
        self._values = values

    def has(self, name: str) -> bool:
        return name in self._values

    def read(self, name: str, parse: Callable[[str], T]) -> T:
        if name not in self._values:
            raise _FieldError(SettingsProblem(self._path, "", name, "", "is missing"))
        value = self._values[name]
        try:
            return parse(value)
        except ValueError as error:
            raise _FieldError(SettingsProblem(self._path, "", name, value, str(error))) from error


def _values_of(text: str) -> Mapping[str, str]:
    values = dict(DEFAULTS)
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            values[name.strip()] = value.strip()
    return values


def _settings_of(fields: _Fields) -> NodeSettings:
    callers = fields.read("listen.frontend", parse_address)
    return NodeSettings(
        id=EntryId(fields.read("node_name", str)),
        zone=ZoneId(fields.read("zone", str)),
        caller_address=callers,
        readiness_address=fields.read("listen.readiness", parse_address),
        control_address=fields.read("listen.control_plane", parse_address),
        metrics_address=Address(callers.host, fields.read("port_range", _first_port)),
        seeds=fields.read("seeds", _addresses),
        store_address=fields.read("platform.address", parse_address),
        memory_mb=fields.read("limits.memory_mb", float),
        descriptors_max=fields.read("limits.max_fds", _optional_int),
        caller_memory_share=fields.read("limits.caller_memory_share", float),
        body_bytes_per_s_min=fields.read("limits.body_bytes_per_s_min", float),
        body_grace_s=fields.read("limits.body_grace_s", float),
        link_mbps=fields.read("limits.link_mbps", float),
        heartbeat_s=fields.read("heartbeat_ms", float) / MS_PER_S,
        bounds=NodeBounds(
            grace_s=fields.read("bounds.grace_s", float),
            drain_s=fields.read("bounds.drain_ms", float) / MS_PER_S,
            evacuation_s=fields.read("bounds.evacuation_ms", float) / MS_PER_S,
            config_apply_s=fields.read("bounds.config_apply_ms", float) / MS_PER_S,
            retry_ratio=fields.read("bounds.retry_ratio", float),
            retry_window_s=fields.read("bounds.retry_window_s", float),
            retry_allowance=fields.read("bounds.retry_allowance", float),
            cold_overage=fields.read("bounds.cold_overage", float),
            cold_allowance=fields.read("bounds.cold_allowance", float),
            rollout=_rollout_bounds(fields),
        ),
    )


def _optional_int(text: str) -> int | None:
    return int(text) if text else None


def _rollout_bounds(fields: _Fields) -> RolloutBounds | None:
    """Return the bounds of roll-outs, or None where they are not in force."""
    if not fields.has("bounds.exposure_share"):
        return None
    return RolloutBounds(
        exposure_share=fields.read("bounds.exposure_share", float),
        exposure_allowance=fields.read("bounds.exposure_allowance", float),
        rollback_s=fields.read("bounds.rollback_ms", float) / MS_PER_S,
        skew_max_s=fields.read("bounds.max_skew_ms", float) / MS_PER_S,
    )


def _first_port(text: str) -> int:
    return int(text.partition(",")[0])


def _addresses(text: str) -> tuple[Address, ...]:
    return tuple(parse_address(each.strip()) for each in text.split(",") if each.strip())

"""The platform's settings file: lines of the form `a.b=value`, lists joined by commas."""

from collections.abc import Mapping

from result import Err, Ok, Result

from gooseberryquay.contracts.fields import Address, parse_address
from gooseberryquay.contracts.node_settings import NodeBounds, NodeSettings
from gooseberryquay.contracts.settings import SettingsProblem
from gooseberryquay.ids import EntryId, ZoneId

__all__ = ["SETTINGS_VARIABLE", "read_settings"]

SETTINGS_VARIABLE = "GOOSEBERRYQUAY_SETTINGS"
MS_PER_S = 1000.0
# Bounds are left out of the file where a deployment has no such rule.
DEFAULTS = {
    "bounds.drain_ms": "2000",
    "bounds.grace_s": "8",
    "bounds.config_apply_ms": "2000",
    "bounds.evacuation_ms": "5000",
    "bounds.retry_ratio": "0.2",
    "bounds.retry_allowance": "50",
    "bounds.reuse_after_s": "2",
    "seeds": "",
}


def read_settings(path: str) -> Result[NodeSettings, SettingsProblem]:
    """Read a settings file."""
    try:
        with open(path, encoding="utf-8") as file:
            values = _values_of(file.read())
    except OSError as error:
        return Err(SettingsProblem(path, "", "", "", str(error)))
    try:
        return Ok(_settings_of(values))
    except (KeyError, ValueError) as error:
        return Err(SettingsProblem(path, "", "", "", f"missing or malformed: {error}"))


def _values_of(text: str) -> Mapping[str, str]:
    values = dict(DEFAULTS)
    for line in text.splitlines():
        name, separator, value = line.partition("=")
        if separator:
            values[name.strip()] = value.strip()
    return values


def _settings_of(values: Mapping[str, str]) -> NodeSettings:
    callers = parse_address(values["listen.frontend"])
    metrics_port = int(values["port_range"].partition(",")[0])
    return NodeSettings(
        id=EntryId(values["node_name"]),
        zone=ZoneId(values["zone"]),
        caller_address=callers,
        readiness_address=parse_address(values["listen.readiness"]),
        control_address=parse_address(values["listen.control_plane"]),
        metrics_address=Address(callers.host, metrics_port),
        seeds=_addresses(values["seeds"]),
        store_address=parse_address(values["platform.address"]),
        bounds=NodeBounds(
            drain_s=float(values["bounds.drain_ms"]) / MS_PER_S,
            grace_s=float(values["bounds.grace_s"]),
            config_apply_s=float(values["bounds.config_apply_ms"]) / MS_PER_S,
            evacuation_s=float(values["bounds.evacuation_ms"]) / MS_PER_S,
            retry_ratio=float(values["bounds.retry_ratio"]),
            retry_allowance=float(values["bounds.retry_allowance"]),
            address_reuse_s=float(values["bounds.reuse_after_s"]),
        ),
    )


def _addresses(text: str) -> tuple[Address, ...]:
    return tuple(parse_address(each.strip()) for each in text.split(",") if each.strip())

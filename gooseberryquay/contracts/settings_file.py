"""Read a base INI file and a site overlay into checked settings."""

import configparser
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TypeVar

from pydantic import ValidationError
from result import Err, Ok, Result

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.contracts.fields import FrozenModel
from gooseberryquay.contracts.posting_settings import PostingSettings
from gooseberryquay.contracts.service import Service, ServiceKind
from gooseberryquay.contracts.settings import (
    ChoiceSettings,
    EntrySettings,
    LimitSettings,
    LogSettings,
    PlatformSettings,
    Settings,
    SettingsProblem,
    SiteSettings,
    StatsdSettings,
)
from gooseberryquay.contracts.site import Site
from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.contracts.workspace import Workspace

__all__ = ["NAMED_SECTIONS", "SINGLE_SECTIONS", "load_settings", "parse_settings"]

NAMED_SECTIONS: Mapping[str, type[FrozenModel]] = {
    "service": Service,
    "site": Site,
    "workspace": Workspace,
    "upstream": UpstreamDeclaration,
    "entry": EntrySettings,
}
SINGLE_SECTIONS: Mapping[str, type[FrozenModel]] = {
    "site": SiteSettings,
    "platform": PlatformSettings,
    "statsd": StatsdSettings,
    "log": LogSettings,
    "limits": LimitSettings,
    "postings": PostingSettings,
    "choice": ChoiceSettings,
}
_OVERLAY_MAY_ADD = frozenset({"entry", "site", "platform", "statsd", "log"})
_OVERLAY_MAY_CHANGE = frozenset({"upstream", "platform", "statsd", "log", "limits", "choice"})

M = TypeVar("M", bound=FrozenModel)
Sections = dict[str, dict[str, str]]


@dataclass
class _Reading:
    """Collect sections, where each came from, and every problem met."""

    sections: Sections = field(default_factory=dict)
    file_of_section: dict[str, str] = field(default_factory=dict)
    problems: list[SettingsProblem] = field(default_factory=list)

    def report(self, section: str, key: str, value: str, reason: str) -> None:
        """Add a problem at the file that the section came from."""
        file = self.file_of_section.get(section, "")
        self.problems.append(SettingsProblem(file, section, key, value, reason))


def load_settings(
    base: str | Path, overlay: str | Path | None = None
) -> Result[Settings, list[SettingsProblem]]:
    """Read and check a base file and an optional overlay, reporting every problem at once."""
    texts = [(str(base), Path(base))]
    if overlay is not None:
        texts.append((str(overlay), Path(overlay)))
    contents = []
    problems = []
    for name, path in texts:
        try:
            contents.append((name, path.read_text(encoding="utf-8")))
        except (OSError, UnicodeDecodeError) as error:
            problems.append(SettingsProblem(name, "", "", "", f"cannot be read: {error}"))
    return Err(problems) if problems else parse_settings(*contents)


def parse_settings(
    base: tuple[str, str], overlay: tuple[str, str] | None = None
) -> Result[Settings, list[SettingsProblem]]:
    """Check settings given as (file name, text) pairs."""
    reading = _Reading()
    _read_base(reading, *base)
    if overlay is not None:
        _read_overlay(reading, *overlay)
    models = _check_sections(reading)
    _check_references(reading, models)
    if reading.problems:
        return Err(reading.problems)
    return Ok(_build_settings(models))


def _parse_ini(reading: _Reading, file: str, text: str) -> Sections:
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(text, source=file)
    except configparser.Error as error:
        reading.problems.append(SettingsProblem(file, "", "", "", str(error).replace("\n", " ")))
        return {}
    return {name: dict(parser[name]) for name in parser.sections()}


def _read_base(reading: _Reading, file: str, text: str) -> None:
    for section, keys in _parse_ini(reading, file, text).items():
        reading.sections[section] = keys
        reading.file_of_section[section] = file


def _read_overlay(reading: _Reading, file: str, text: str) -> None:
    for section, keys in _parse_ini(reading, file, text).items():
        kind = section.partition(":")[0]
        if section in reading.sections:
            _change_section(reading, file, section, keys)
        elif kind in _OVERLAY_MAY_ADD and not section.startswith("site:"):
            reading.sections[section] = keys
            reading.file_of_section[section] = file
        else:
            reason = "an overlay may not add this section; declare it in the base file"
            reading.problems.append(SettingsProblem(file, section, "", "", reason))


def _change_section(reading: _Reading, file: str, section: str, keys: dict[str, str]) -> None:
    if section.partition(":")[0] not in _OVERLAY_MAY_CHANGE:
        reason = "an overlay may not change this section"
        reading.problems.append(SettingsProblem(file, section, "", "", reason))
        return
    for key, value in keys.items():
        if reading.sections[section].get(key) == value:
            reason = "repeats the base file; an overlay states only what differs"
            reading.problems.append(SettingsProblem(file, section, key, value, reason))
        reading.sections[section][key] = value
    reading.file_of_section[section] = file


def _check_sections(reading: _Reading) -> dict[str, FrozenModel]:
    models = {}
    for section, keys in reading.sections.items():
        model = _check_section(reading, section, keys)
        if model is not None:
            models[section] = model
    return models


def _check_section(reading: _Reading, section: str, keys: dict[str, str]) -> FrozenModel | None:
    kind, separator, name = section.partition(":")
    model_type = (NAMED_SECTIONS if separator else SINGLE_SECTIONS).get(kind)
    if model_type is None:
        allowed = [f"{each}:NAME" for each in NAMED_SECTIONS] + list(SINGLE_SECTIONS)
        reading.report(section, "", "", f"unknown section; allowed: {', '.join(allowed)}")
        return None
    values: dict[str, Any] = dict(keys)
    if separator:
        if "id" in keys:
            reading.report(section, "id", keys["id"], "unknown key; the name is in the section")
        values["id"] = name
    try:
        return model_type.model_validate(values)
    except ValidationError as error:
        _report_validation(reading, section, keys, model_type, error)
        return None


def _report_validation(
    reading: _Reading,
    section: str,
    keys: dict[str, str],
    model_type: type[FrozenModel],
    error: ValidationError,
) -> None:
    allowed = ", ".join(key for key in model_type.model_fields if key != "id")
    for detail in error.errors():
        key = str(detail["loc"][0]) if detail["loc"] else ""
        reason = detail["msg"]
        if detail["type"] == "extra_forbidden":
            reason = f"unknown key; allowed: {allowed}"
        reading.report(section, key, keys.get(key, ""), reason)


def _models_of(models: dict[str, FrozenModel], model_type: type[M]) -> Iterator[tuple[str, M]]:
    for section, model in models.items():
        if isinstance(model, model_type):
            yield section, model


def _check_references(reading: _Reading, models: dict[str, FrozenModel]) -> None:
    services = {model.id: model for _, model in _models_of(models, Service)}
    zones = {zone for _, site in _models_of(models, Site) for zone in site.zones}
    for section, service in _models_of(models, Service):
        _check_service(reading, section, service)
    for section, upstream in _models_of(models, UpstreamDeclaration):
        if upstream.service not in services:
            allowed = ", ".join(services)
            reading.report(section, "service", upstream.service, f"unknown; declared: {allowed}")
        _check_zone(reading, section, upstream.zone, zones)
    for section, entry in _models_of(models, EntrySettings):
        _check_zone(reading, section, entry.zone, zones)


def _check_zone(reading: _Reading, section: str, zone: str, zones: set[str]) -> None:
    if zone not in zones:
        reading.report(section, "zone", zone, f"unknown; declared: {', '.join(sorted(zones))}")


def _check_service(reading: _Reading, section: str, service: Service) -> None:
    for name in service.never_repeat:
        if name not in service.operations:
            allowed = ", ".join(service.operations)
            reading.report(section, "never_repeat", name, f"not an operation; declared: {allowed}")
    if service.kind is ServiceKind.PLAIN and not service.operations:
        reading.report(section, "operations", "", "a plain service needs at least one operation")


def _build_settings(models: dict[str, FrozenModel]) -> Settings:
    declaration = Declaration(
        services={model.id: model for _, model in _models_of(models, Service)},
        sites={model.id: model for _, model in _models_of(models, Site)},
        workspaces={model.id: model for _, model in _models_of(models, Workspace)},
        upstreams={model.id: model for _, model in _models_of(models, UpstreamDeclaration)},
    )
    singles = {name: models[name] for name in SINGLE_SECTIONS if name in models}
    entries = {model.id: model for _, model in _models_of(models, EntrySettings)}
    return Settings.model_validate({"declaration": declaration, "entries": entries, **singles})

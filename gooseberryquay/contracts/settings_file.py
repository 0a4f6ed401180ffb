"""Parser of a base INI file and a site overlay into validated settings."""

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

ModelT = TypeVar("ModelT", bound=FrozenModel)
Sections = dict[str, dict[str, str]]


@dataclass
class _SettingsReader:
    """Collect the sections, the file of each section, and all problems found."""

    sections: Sections = field(default_factory=dict)
    file_of_section: dict[str, str] = field(default_factory=dict)
    problems: list[SettingsProblem] = field(default_factory=list)

    def report(self, section: str, key: str, value: str, reason: str) -> None:
        """Add a problem in the file that the section was read from."""
        file = self.file_of_section.get(section, "")
        self.problems.append(SettingsProblem(file, section, key, value, reason))


def load_settings(
    base: str | Path, overlay: str | Path | None = None
) -> Result[Settings, list[SettingsProblem]]:
    """Read and validate a base file and an optional overlay; report all problems together."""
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
    """Parse and validate settings given as (file name, text) pairs."""
    reader = _SettingsReader()
    _read_base(reader, *base)
    if overlay is not None:
        _read_overlay(reader, *overlay)
    models = _check_sections(reader)
    _check_references(reader, models)
    if reader.problems:
        return Err(reader.problems)
    return Ok(_build_settings(models))


def _parse_ini(reader: _SettingsReader, file: str, text: str) -> Sections:
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    try:
        parser.read_string(text, source=file)
    except configparser.Error as error:
        reader.problems.append(SettingsProblem(file, "", "", "", str(error).replace("\n", " ")))
        return {}
    return {name: dict(parser[name]) for name in parser.sections()}


def _read_base(reader: _SettingsReader, file: str, text: str) -> None:
    for section, keys in _parse_ini(reader, file, text).items():
        reader.sections[section] = keys
        reader.file_of_section[section] = file


def _read_overlay(reader: _SettingsReader, file: str, text: str) -> None:
    for section, keys in _parse_ini(reader, file, text).items():
        kind = section.partition(":")[0]
        if section in reader.sections:
            _change_section(reader, file, section, keys)
        elif kind in _OVERLAY_MAY_ADD and not section.startswith("site:"):
            reader.sections[section] = keys
            reader.file_of_section[section] = file
        else:
            reason = "an overlay may not add this section; declare it in the base file"
            reader.problems.append(SettingsProblem(file, section, "", "", reason))


def _change_section(reader: _SettingsReader, file: str, section: str, keys: dict[str, str]) -> None:
    if section.partition(":")[0] not in _OVERLAY_MAY_CHANGE:
        reason = "an overlay may not change this section"
        reader.problems.append(SettingsProblem(file, section, "", "", reason))
        return
    for key, value in keys.items():
        if reader.sections[section].get(key) == value:
            reason = "repeats the base file; an overlay states only what differs"
            reader.problems.append(SettingsProblem(file, section, key, value, reason))
        reader.sections[section][key] = value
    reader.file_of_section[section] = file


def _check_sections(reader: _SettingsReader) -> dict[str, FrozenModel]:
    models = {}
    for section, keys in reader.sections.items():
        model = _check_section(reader, section, keys)
        if model is not None:
            models[section] = model
    return models


def _check_section(
    reader: _SettingsReader, section: str, keys: dict[str, str]
) -> FrozenModel | None:
    kind, separator, name = section.partition(":")
    model_type = (NAMED_SECTIONS if separator else SINGLE_SECTIONS).get(kind)
    if model_type is None:
        allowed = [f"{each}:NAME" for each in NAMED_SECTIONS] + list(SINGLE_SECTIONS)
        reader.report(section, "", "", f"unknown section; allowed: {', '.join(allowed)}")
        return None
    values: dict[str, Any] = dict(keys)
    if separator:
        if "id" in keys:
            reader.report(section, "id", keys["id"], "unknown key; the name is in the section")
        values["id"] = name
    try:
        return model_type.model_validate(values)
    except ValidationError as error:
        _report_validation(reader, section, keys, model_type, error)
        return None


def _report_validation(
    reader: _SettingsReader,
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
        reader.report(section, key, keys.get(key, ""), reason)


def _models_of(
    models: dict[str, FrozenModel], model_type: type[ModelT]
) -> Iterator[tuple[str, ModelT]]:
    for section, model in models.items():
        if isinstance(model, model_type):
            yield section, model


def _check_references(reader: _SettingsReader, models: dict[str, FrozenModel]) -> None:
    services = {model.id: model for _, model in _models_of(models, Service)}
    zones = {zone for _, site in _models_of(models, Site) for zone in site.zones}
    for section, service in _models_of(models, Service):
        _check_service(reader, section, service)
    for section, upstream in _models_of(models, UpstreamDeclaration):
        if upstream.service not in services:
            allowed = ", ".join(services)
            reader.report(section, "service", upstream.service, f"unknown; declared: {allowed}")
        _check_zone(reader, section, upstream.zone, zones)
    for section, entry in _models_of(models, EntrySettings):
        _check_zone(reader, section, entry.zone, zones)


def _check_zone(reader: _SettingsReader, section: str, zone: str, zones: set[str]) -> None:
    if zone not in zones:
        reader.report(section, "zone", zone, f"unknown; declared: {', '.join(sorted(zones))}")


def _check_service(reader: _SettingsReader, section: str, service: Service) -> None:
    for name in service.never_repeat:
        if name not in service.operations:
            allowed = ", ".join(service.operations)
            reader.report(section, "never_repeat", name, f"not an operation; declared: {allowed}")
    if service.kind is ServiceKind.PLAIN and not service.operations:
        reader.report(section, "operations", "", "a plain service needs at least one operation")


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

"""Reference page of all settings, generated from the models that validate them."""

from collections.abc import Iterator
from enum import Enum

from pydantic.fields import FieldInfo
from pydantic_core import PydanticUndefined

from gooseberryquay.contracts.fields import FrozenModel
from gooseberryquay.contracts.node_settings import CALLER_LIMIT_SETTINGS
from gooseberryquay.contracts.settings_file import NAMED_SECTIONS, SINGLE_SECTIONS

__all__ = ["write_settings_reference"]

TITLE = "# Settings"
NOTE = (
    "Made by `gooseberryquay settings`; a test compares this page with the code. Names are\n"
    "separated by commas, addresses are `IP:PORT`, times are in seconds (`_s`), sizes in bytes."
)
TABLE_HEADER = "| key | type | allowed | default |\n|---|---|---|---|"


def write_settings_reference() -> str:
    """Return the reference page in Markdown, with a table for each section."""
    parts = [TITLE, NOTE]
    for kind, model in NAMED_SECTIONS.items():
        parts.append(_write_section(f"[{kind}:NAME]", model))
    for kind, model in SINGLE_SECTIONS.items():
        parts.append(_write_section(f"[{kind}]", model))
    parts.append(_write_caller_limits())
    return "\n\n".join(parts) + "\n"


def _write_caller_limits() -> str:
    rows = [
        f"| `{name}` | {f'`{default}`' if default else 'none'} | {meaning} |"
        for name, default, meaning in CALLER_LIMIT_SETTINGS
    ]
    heading = "## Limits on callers, in the settings file of an instance"
    return "\n".join([heading, "", "| key | default | meaning |", "|---|---|---|", *rows])


def _write_section(heading: str, model: type[FrozenModel]) -> str:
    first_line = (model.__doc__ or "").strip().splitlines()[0]
    rows = [_write_row(name, field) for name, field in model.model_fields.items() if name != "id"]
    return "\n".join([f"## {heading}", "", first_line, "", TABLE_HEADER, *rows])


def _write_row(name: str, field: FieldInfo) -> str:
    default = "required" if field.default is PydanticUndefined else _write_default(field.default)
    allowed = ", ".join(_bounds_of(field)) or "-"
    return f"| `{name}` | {_type_name(field)} | {allowed} | {default} |"


def _write_default(value: object) -> str:
    if value is None or value == ():
        return "none"
    return f"`{getattr(value, 'value', value)}`"


def _type_name(field: FieldInfo) -> str:
    annotation = field.annotation
    if isinstance(annotation, type) and issubclass(annotation, Enum):
        return " or ".join(f"`{each.value}`" for each in annotation)
    if "tuple" in str(annotation):
        return "names"
    if "Address" in str(annotation):
        return "address"
    name = getattr(annotation, "__name__", str(annotation))
    return "name" if name.endswith("Id") else str(name)


def _bounds_of(field: FieldInfo) -> Iterator[str]:
    signs = {"gt": ">", "ge": ">=", "lt": "<", "le": "<="}
    for constraint in field.metadata:
        for name, sign in signs.items():
            bound = getattr(constraint, name, None)
            if bound is not None:
                yield f"{sign} {bound}"
        pattern = getattr(constraint, "pattern", None)
        if pattern is not None:
            yield str(pattern).strip("^$()").replace("|", " or ")

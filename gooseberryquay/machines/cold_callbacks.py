"""Callbacks of cold admission into the rest of an entry."""

from collections.abc import Callable
from dataclasses import dataclass

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import ServiceId
from gooseberryquay.machines.load_report import LoadReport

__all__ = ["ColdAdmissionCallbacks"]


@dataclass(frozen=True)
class ColdAdmissionCallbacks:
    """Callbacks of cold admission.

    `fresh_report` polls the upstream; `entry_count` returns the number of live entries.
    """

    fresh_report: Callable[[UpstreamDeclaration], LoadReport | None]
    entry_count: Callable[[], int]
    capacity_changed: Callable[[ServiceId], None]

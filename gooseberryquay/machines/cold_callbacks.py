"""What cold admission asks of the rest of an entry."""

from collections.abc import Callable
from dataclasses import dataclass

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import ServiceId
from gooseberryquay.machines.load_report import LoadReport

__all__ = ["ColdAdmissionCallbacks"]


@dataclass(frozen=True)
class ColdAdmissionCallbacks:
    """Name what cold admission asks of the rest of the entry.

    `fresh_report` asks the upstream now; `entry_count` gives the live entries.
    """

    fresh_report: Callable[[UpstreamDeclaration], LoadReport | None]
    entry_count: Callable[[], int]
    capacity_changed: Callable[[ServiceId], None]

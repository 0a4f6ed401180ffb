"""Slots through which a cold upstream gets its work."""

from typing import Protocol

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import UpstreamId
from gooseberryquay.machines.load_report import LoadReport

__all__ = ["ColdSlots", "NoColdSlots"]


class ColdSlots(Protocol):
    """Hand out slots of cold upstreams without waiting."""

    def has_free(self, upstream: UpstreamDeclaration) -> bool:
        """Tell whether a slot is free; ask for one in the background if none is."""

    def try_take(self, upstream: UpstreamDeclaration) -> bool:
        """Take a free slot that this entry holds."""

    def give_back(self, upstream: UpstreamDeclaration, is_certain: bool) -> None:
        """Free a slot that was taken; `is_certain` if the upstream is done with the request."""

    def record_report(self, upstream: UpstreamId, report: LoadReport) -> None:
        """Take in a report, which may show that a request in doubt has ended."""


class NoColdSlots:
    """Give no slots, so that a cold upstream gets no work."""

    def has_free(self, upstream: UpstreamDeclaration) -> bool:
        """Give no slot."""
        return False

    def try_take(self, upstream: UpstreamDeclaration) -> bool:
        """Give no slot."""
        return False

    def give_back(self, upstream: UpstreamDeclaration, is_certain: bool) -> None:
        """Do nothing."""

    def record_report(self, upstream: UpstreamId, report: LoadReport) -> None:
        """Do nothing."""

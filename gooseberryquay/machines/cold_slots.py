"""Interface to the slots through which requests are sent to cold upstreams."""

from typing import Protocol

from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import UpstreamId
from gooseberryquay.machines.load_report import LoadReport

__all__ = ["ColdSlots", "NoColdSlots"]


class ColdSlots(Protocol):
    """Provide slots of cold upstreams without blocking."""

    def has_free(self, upstream: UpstreamDeclaration) -> bool:
        """Return whether a slot is free; request one in the background if none is."""

    def try_take(self, upstream: UpstreamDeclaration) -> bool:
        """Use a free slot held by this entry; return whether there was one."""

    def return_slot(self, upstream: UpstreamDeclaration, is_certain: bool) -> None:
        """Return a used slot; `is_certain` if the upstream has certainly ended the request."""

    def record_report(self, upstream: UpstreamId, report: LoadReport) -> None:
        """Process a load report, which may show that a request with unknown outcome has ended."""


class NoColdSlots:
    """Provide no slots, so that cold upstreams receive no requests."""

    def has_free(self, upstream: UpstreamDeclaration) -> bool:
        """Return False."""
        return False

    def try_take(self, upstream: UpstreamDeclaration) -> bool:
        """Return False."""
        return False

    def return_slot(self, upstream: UpstreamDeclaration, is_certain: bool) -> None:
        """Do nothing."""

    def record_report(self, upstream: UpstreamId, report: LoadReport) -> None:
        """Do nothing."""

"""How many requests each workspace has in flight, and how many it may have."""

from collections.abc import Callable

from gooseberryquay.ids import WorkspaceId
from gooseberryquay.zones.configuration import Configuration

__all__ = ["WorkspaceShares"]


class WorkspaceShares:
    """Count requests in flight per workspace; the caller serialises the calls."""

    def __init__(
        self, configuration: Callable[[], Configuration], entry_count: Callable[[], int]
    ) -> None:
        self._configuration = configuration
        self._entry_count = entry_count
        self._in_flight: dict[WorkspaceId, int] = {}

    @property
    def total(self) -> int:
        """Give the number of requests in flight."""
        return sum(self._in_flight.values())

    def weight(self, workspace: WorkspaceId) -> int:
        """Give the declared weight."""
        declared = self._configuration().declaration.workspaces.get(workspace)
        return declared.weight if declared is not None else 1

    def has_room(self, workspace: WorkspaceId) -> bool:
        """Tell whether one more request fits this entry's part of the declared bound."""
        declared = self._configuration().declaration.workspaces.get(workspace)
        if declared is None:
            return True
        part = -(-declared.max_in_flight // max(1, self._entry_count()))
        return self._in_flight.get(workspace, 0) < part

    def enter(self, workspace: WorkspaceId) -> None:
        """Count one request more."""
        self._in_flight[workspace] = self._in_flight.get(workspace, 0) + 1

    def leave(self, workspace: WorkspaceId) -> None:
        """Count one request less."""
        self._in_flight[workspace] -= 1
        if not self._in_flight[workspace]:
            del self._in_flight[workspace]

"""In-flight requests of each workspace and their limits."""

from collections.abc import Callable

from gooseberryquay.ids import WorkspaceId
from gooseberryquay.zones.configuration import Configuration

__all__ = ["WorkspaceLimits"]


class WorkspaceLimits:
    """Count requests in flight per workspace; callers must serialize the calls."""

    def __init__(
        self, configuration: Callable[[], Configuration], entry_count: Callable[[], int]
    ) -> None:
        self._configuration = configuration
        self._entry_count = entry_count
        self._in_flight: dict[WorkspaceId, int] = {}

    @property
    def total(self) -> int:
        """Return the number of requests in flight."""
        return sum(self._in_flight.values())

    def weight(self, workspace: WorkspaceId) -> int:
        """Return the declared weight of a workspace; 1 if it is not declared."""
        declared = self._configuration().declaration.workspaces.get(workspace)
        return declared.weight if declared is not None else 1

    def has_room(self, workspace: WorkspaceId) -> bool:
        """Return whether one more request fits this entry's share of the declared limit."""
        declared = self._configuration().declaration.workspaces.get(workspace)
        if declared is None:
            return True
        entry_limit = -(-declared.max_in_flight // max(1, self._entry_count()))
        return self._in_flight.get(workspace, 0) < entry_limit

    def enter(self, workspace: WorkspaceId) -> None:
        """Count a request that starts."""
        self._in_flight[workspace] = self._in_flight.get(workspace, 0) + 1

    def leave(self, workspace: WorkspaceId) -> None:
        """Count a request that ends."""
        self._in_flight[workspace] -= 1
        if not self._in_flight[workspace]:
            del self._in_flight[workspace]

"""Declaration of workspaces: the customers whose requests share the upstreams."""

from typing import Annotated

from pydantic import Field

from gooseberryquay.contracts.fields import FrozenModel
from gooseberryquay.ids import WorkspaceId

__all__ = ["Workspace"]


class Workspace(FrozenModel):
    """Declare one workspace and its share under load."""

    id: WorkspaceId
    weight: Annotated[int, Field(ge=1, le=1000)] = 1
    max_in_flight: Annotated[int, Field(ge=1)] = 1000

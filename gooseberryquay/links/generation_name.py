"""Generation ids that encode the upstream, so that any entry can route a resume."""

import secrets
from dataclasses import dataclass
from typing import Self

import xxhash
from result import Err, Ok, Result

from gooseberryquay.errors import GenerationLost
from gooseberryquay.ids import GenerationId, UpstreamId, WorkspaceId

__all__ = ["EventPosition", "GenerationName"]

SEPARATOR = "~"
RANDOM_BYTES = 12
INDEX_SEPARATOR = "/"
MAX_EVENT_ID_LENGTH = 300


@dataclass(frozen=True)
class GenerationName:
    """Identify a generation by its upstream, a workspace hash and a random part."""

    upstream: UpstreamId
    workspace_hash: str
    random: str

    @classmethod
    def create(cls, upstream: UpstreamId, workspace: WorkspaceId) -> Self:
        """Create the name of a new generation."""
        return cls(upstream, _hash_workspace(workspace), secrets.token_hex(RANDOM_BYTES))

    def belongs_to(self, workspace: WorkspaceId) -> bool:
        """Return whether the workspace started the generation."""
        return self.workspace_hash == _hash_workspace(workspace)

    @property
    def id(self) -> GenerationId:
        """Return the generation id that the upstream uses."""
        return GenerationId(SEPARATOR.join((self.upstream, self.workspace_hash, self.random)))


@dataclass(frozen=True)
class EventPosition:
    """Represent the position after one event of a generation."""

    generation: GenerationName
    index: int

    @classmethod
    def parse(cls, event_id: str) -> Result[Self, GenerationLost]:
        """Parse the value of a `Last-Event-ID` header."""
        name, _, index = event_id.rpartition(INDEX_SEPARATOR)
        parts = name.rsplit(SEPARATOR, 2)
        is_known = len(event_id) <= MAX_EVENT_ID_LENGTH and len(parts) == len(("u", "w", "r"))
        if not is_known or not (index.isascii() and index.isdigit()):
            return Err(GenerationLost("the event id does not identify a generation"))
        upstream, workspace_hash, random = parts
        return Ok(cls(GenerationName(UpstreamId(upstream), workspace_hash, random), int(index)))


def _hash_workspace(workspace: WorkspaceId) -> str:
    return xxhash.xxh64_hexdigest(workspace.encode())

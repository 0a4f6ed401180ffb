"""Names of generations, from which any entry finds the upstream again."""

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
    """Name one generation by its upstream, its workspace and a random part."""

    upstream: UpstreamId
    workspace_hash: str
    random: str

    @classmethod
    def create(cls, upstream: UpstreamId, workspace: WorkspaceId) -> Self:
        """Name a new generation."""
        return cls(upstream, _hash_workspace(workspace), secrets.token_hex(RANDOM_BYTES))

    def belongs_to(self, workspace: WorkspaceId) -> bool:
        """Tell whether a workspace started the generation."""
        return self.workspace_hash == _hash_workspace(workspace)

    @property
    def id(self) -> GenerationId:
        """Give the id that the upstream knows the generation by."""
        return GenerationId(SEPARATOR.join((self.upstream, self.workspace_hash, self.random)))


@dataclass(frozen=True)
class EventPosition:
    """Point behind one event of one generation."""

    generation: GenerationName
    index: int

    @classmethod
    def parse(cls, event_id: str) -> Result[Self, GenerationLost]:
        """Read the id that a caller gives as `Last-Event-ID`."""
        name, _, index = event_id.rpartition(INDEX_SEPARATOR)
        parts = name.rsplit(SEPARATOR, 2)
        is_known = len(event_id) <= MAX_EVENT_ID_LENGTH and len(parts) == len(("u", "w", "r"))
        if not is_known or not (index.isascii() and index.isdigit()):
            return Err(GenerationLost("the event id names no generation"))
        upstream, workspace_hash, random = parts
        return Ok(cls(GenerationName(UpstreamId(upstream), workspace_hash, random), int(index)))


def _hash_workspace(workspace: WorkspaceId) -> str:
    return xxhash.xxh64_hexdigest(workspace.encode())

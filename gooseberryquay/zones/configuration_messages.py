"""Messages about the configuration between entries."""

from gooseberryquay.contracts.fields import FrozenModel
from gooseberryquay.ids import EntryId, Revision
from gooseberryquay.machines.peer import Peer
from gooseberryquay.zones.configuration import Configuration
from gooseberryquay.zones.configuration_change import AcceptedChange
from gooseberryquay.zones.outage_sketch import OutageRound

__all__ = [
    "CHANGES_PATH",
    "OUTAGE_PATH",
    "PULL_PATH",
    "OutageExchange",
    "PullReply",
    "PullRequest",
    "PushChanges",
    "RevisionReply",
]

CHANGES_PATH = "/peer/config/changes"
PULL_PATH = "/peer/config/pull"
OUTAGE_PATH = "/peer/config/outage"


class RevisionReply(FrozenModel):
    """Tell a peer which revision is in force here and how old its confirmation is."""

    revision: Revision
    confirmed_age_s: float


class PushChanges(FrozenModel):
    """Offer new changes to a peer; empty where the peer has to pull a snapshot.

    Requests confirm nothing: they may have waited while their receiver was paused.
    """

    sender: Peer
    revision: Revision
    version: int
    changes: tuple[AcceptedChange, ...]


class PullRequest(FrozenModel):
    """Ask a peer for what follows a revision, and for the members that it knows."""

    after_revision: Revision
    wants_members: bool = False


class PullReply(FrozenModel):
    """Give the changes after a revision, or the whole configuration.

    `version` is that of the platform's object at this revision, 0 where it is not known.
    """

    revision: Revision
    version: int
    confirmed_age_s: float
    changes: tuple[AcceptedChange, ...] = ()
    configuration: Configuration | None = None
    members: tuple[EntryId, ...] = ()


class OutageExchange(FrozenModel):
    """Exchange which members cannot reach the platform, and what is in force here."""

    revision: Revision
    confirmed_age_s: float
    round: OutageRound

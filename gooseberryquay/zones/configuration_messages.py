"""Messages by which entries exchange the configuration and outage reports."""

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
    """Report the local revision and the age of its confirmation in seconds."""

    revision: Revision
    confirmed_age_s: float


class PushChanges(FrozenModel):
    """Push new changes to a peer; `changes` is empty if the peer must pull a snapshot.

    Requests confirm no revision: they may have been queued for an unknown time while their
    receiver was paused.
    """

    sender: Peer
    revision: Revision
    version: int
    changes: tuple[AcceptedChange, ...]


class PullRequest(FrozenModel):
    """Ask a peer for the changes after a revision, and optionally for its known members."""

    after_revision: Revision
    wants_members: bool = False


class PullReply(FrozenModel):
    """Return the changes after a revision, or the whole configuration.

    `version` is the version of the platform's object at this revision, or 0 if unknown.
    """

    revision: Revision
    version: int
    confirmed_age_s: float
    changes: tuple[AcceptedChange, ...] = ()
    configuration: Configuration | None = None
    members: tuple[EntryId, ...] = ()


class OutageExchange(FrozenModel):
    """Exchange reports of members that cannot reach the platform, and the local revision."""

    revision: Revision
    confirmed_age_s: float
    round: OutageRound

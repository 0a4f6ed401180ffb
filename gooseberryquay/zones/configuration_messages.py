"""Messages about the configuration between entries."""

from gooseberryquay.contracts.fields import Model
from gooseberryquay.ids import EntryId, Revision
from gooseberryquay.machines.peer import Peer
from gooseberryquay.zones.configuration import Configuration
from gooseberryquay.zones.configuration_change import AcceptedChange

__all__ = [
    "CHANGES_PATH",
    "PULL_PATH",
    "PullReply",
    "PullRequest",
    "PushChanges",
    "RevisionReply",
    "UNREACHABLE_PATH",
    "UnreachableReport",
    "UnreachableReports",
]

CHANGES_PATH = "/peer/config/changes"
PULL_PATH = "/peer/config/pull"
UNREACHABLE_PATH = "/peer/config/unreachable"


class RevisionReply(Model):
    """Tell a peer which revision is in force here and how old its confirmation is."""

    revision: Revision
    confirmed_age_s: float


class PushChanges(Model):
    """Offer new changes to a peer; empty where the peer has to pull a snapshot."""

    sender: Peer
    revision: Revision
    confirmed_age_s: float
    changes: tuple[AcceptedChange, ...]


class PullRequest(Model):
    """Ask a peer for what follows a revision, and for the members that it knows."""

    after_revision: Revision
    wants_members: bool = False


class PullReply(Model):
    """Give the changes after a revision, or the whole configuration."""

    revision: Revision
    confirmed_age_s: float
    changes: tuple[AcceptedChange, ...] = ()
    configuration: Configuration | None = None
    members: tuple[EntryId, ...] = ()


class UnreachableReport(Model):
    """Tell that an entry could not reach the platform some seconds ago."""

    entry: EntryId
    age_s: float


class UnreachableReports(Model):
    """Pass on reports of entries that cannot reach the platform."""

    revision: Revision
    confirmed_age_s: float
    reports: tuple[UnreachableReport, ...]

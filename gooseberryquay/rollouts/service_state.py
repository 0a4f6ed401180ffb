"""What one entry knows of a service: its order, versions, and requests."""

from dataclasses import dataclass, field

from gooseberryquay.rollouts.course import RolloutCourse, VersionName
from gooseberryquay.rollouts.version_view import (
    ServiceVersions,
    VersionView,
    version_name,
    view_of,
)
from gooseberryquay.serving.upstream_record import UpstreamRecord
from gooseberryquay.serving.upstream_registry import KnownUpstream

__all__ = ["SentRequest", "ServiceState"]

# A change that the list of upstreams shows before that of roll-outs is not passed on later.
SETTLED_AFTER_S = 0.4
# Far more than are sent again while a roll-out is in progress.
REQUESTS_MAX = 4096


@dataclass(frozen=True, slots=True)
class SentRequest:
    """Represent a request sent to one upstream, with the order under which it was sent."""

    record: UpstreamRecord
    route: str
    sent_at_s: float
    course: RolloutCourse | None = None
    is_target: bool = False


@dataclass
class ServiceState:
    """Track the order, the versions and the requests of one service at this entry."""

    course: RolloutCourse | None = None
    ended: RolloutCourse | None = None
    listed: frozenset[VersionName] = frozenset()
    # When engines of the service were listed first; their versions were there before this entry.
    known_since_s: float | None = None
    first_listed_at_s: dict[VersionName, float] = field(default_factory=dict)
    settled: set[VersionName] = field(default_factory=set)
    rejected: set[VersionName] = field(default_factory=set)
    withdrawn: set[VersionName] = field(default_factory=set)
    foreign: dict[VersionName, float] = field(default_factory=dict)
    view: VersionView = VersionView(frozenset())
    is_steered: bool = False
    # Requests of which one send has been counted.
    requests: dict[str, None] = field(default_factory=dict)
    durations_s: list[float] = field(default_factory=list)
    present_lost_at_s: float = float("-inf")

    def update_view(self, now_s: float, read_at_s: float | None) -> None:
        """Settle the versions that were listed before the last read, and apply the order."""
        for version, at_s in self.first_listed_at_s.items():
            hold_s = 0.0 if at_s == self.known_since_s else SETTLED_AFTER_S
            if read_at_s is not None and read_at_s >= at_s and now_s - at_s >= hold_s:
                self.settled.add(version)
        foreign = {each for each, until_s in self.foreign.items() if until_s > now_s}
        known = ServiceVersions(
            listed=self.listed,
            settled=frozenset(self.settled - foreign) if read_at_s is not None else frozenset(),
            rejected=frozenset(self.rejected),
            withdrawn=frozenset(self.withdrawn),
        )
        self.view = view_of(known, self.course)

    def note_listed(self, listed: frozenset[VersionName], now_s: float) -> bool:
        """Note which versions are listed; return whether one of them is new."""
        self.listed = listed
        new = listed - self.first_listed_at_s.keys()
        for version in new:
            self.first_listed_at_s[version] = now_s
            course = self.course
            if course is not None and course.outcome is None and version not in course.present:
                course.strays |= {version}
        return bool(new)

    def count_request(self, request: str) -> bool:
        """Return whether a request is sent for the first time."""
        is_new = request not in self.requests
        self.requests[request] = None
        if len(self.requests) > REQUESTS_MAX:
            del self.requests[next(iter(self.requests))]
        return is_new

    def prefer(self, candidates: list[KnownUpstream]) -> list[KnownUpstream]:
        """Return the target's upstreams if its turn has come, or else the others."""
        canary = self.view.canary
        targets = [each for each in candidates if version_name(each.record.version) == canary]
        if not targets or self.is_steered:
            self.is_steered = False
            others = [each for each in candidates if version_name(each.record.version) != canary]
            return others or candidates
        self.is_steered = True
        return targets

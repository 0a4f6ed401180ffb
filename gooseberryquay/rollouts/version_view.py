"""Versions of a service that may get new work."""

from dataclasses import dataclass

from gooseberryquay.ids import SoftwareVersion
from gooseberryquay.rollouts.course import RolloutCourse, RolloutPhase, VersionName
from gooseberryquay.rollouts.order import RolloutState

__all__ = ["ServiceVersions", "VersionView", "version_name", "view_of"]


def version_name(version: SoftwareVersion | None) -> VersionName:
    """Return the name of a version; engines may state none."""
    return version or ""


@dataclass(frozen=True, slots=True)
class VersionView:
    """Versions that get all the work they can carry, and the one that gets a bounded share.

    Streams that began on a version of `fallback` go on there, as they can't anywhere else.
    """

    allowed: frozenset[VersionName]
    canary: VersionName | None = None
    fallback: frozenset[VersionName] = frozenset()


@dataclass(frozen=True, slots=True)
class ServiceVersions:
    """What is known of the versions of one service without its order.

    `settled` are those that appeared before the newest list of roll-outs was read; `rejected` were
    rolled back, and `withdrawn` were the targets of orders that ended without a state.
    """

    listed: frozenset[VersionName]
    settled: frozenset[VersionName]
    rejected: frozenset[VersionName] = frozenset()
    withdrawn: frozenset[VersionName] = frozenset()


def view_of(versions: ServiceVersions, course: RolloutCourse | None) -> VersionView:
    """Return which versions may get new work under an order, or without one."""
    usable = versions.settled - versions.rejected
    if course is None:
        return VersionView(_first_listed(versions.listed, usable - versions.withdrawn, usable))
    target = version_name(course.order.target)
    present = course.present - {target} - versions.rejected
    if course.outcome is RolloutState.COMPLETED:
        # Versions that appear after the completion replace the target as at any other time.
        later = usable - course.present - course.strays
        allowed = _first_listed(versions.listed, later | {target}, usable | {target})
        return VersionView(allowed, fallback=present)
    if course.is_rejected:
        return VersionView(_first_listed(versions.listed, present, usable - {target}))
    if course.phase is RolloutPhase.SHIFTED:
        allowed = _first_listed(versions.listed, frozenset({target}), present | {target})
        return VersionView(allowed, fallback=present)
    return VersionView(present, None if target in versions.rejected else target)


def _first_listed(
    listed: frozenset[VersionName],
    preferred: frozenset[VersionName],
    otherwise: frozenset[VersionName],
) -> frozenset[VersionName]:
    """Return the preferred versions, or the others if no engine of those is listed."""
    return preferred if preferred & listed else otherwise | preferred

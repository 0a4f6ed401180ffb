"""Recognize a request that is sent again under a different id, and the parts that it shares."""

import xxhash

from gooseberryquay.ids import Fingerprint, WorkspaceId
from gooseberryquay.serving.call import Call

__all__ = ["PART_PREFIX", "fingerprint_of", "part_fingerprints_of"]

# Does not occur in any of the joined strings.
SEPARATOR = b"\n"
PART_PREFIX = "part/"
# Prompts have a few parts; a longer list would make each crash costly to record.
SHARED_PARTS_MAX = 32


def fingerprint_of(call: Call, workspace: WorkspaceId | None) -> Fingerprint:
    """Return a hash of the workspace, method, host, target and body of a request."""
    digest = xxhash.xxh3_128()
    for text in (workspace or "", call.method, call.host, call.target):
        digest.update(text.encode())
        digest.update(SEPARATOR)
    digest.update(call.body)
    return Fingerprint(digest.hexdigest())


def part_fingerprints_of(call: Call) -> tuple[Fingerprint, ...]:
    """Return a hash of each part of a prompt that other requests may share.

    The last part belongs to the request itself or to its session.
    """
    if call.demand is None:
        return ()
    shared = dict.fromkeys(each.id for each in call.demand.parts[:-1])
    return tuple(
        Fingerprint(PART_PREFIX + xxhash.xxh3_128_hexdigest(each.encode()))
        for each in list(shared)[:SHARED_PARTS_MAX]
    )

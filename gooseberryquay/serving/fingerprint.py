"""Recognize a request that a caller sends again under a different id."""

import xxhash

from gooseberryquay.ids import Fingerprint, WorkspaceId
from gooseberryquay.serving.call import Call

__all__ = ["fingerprint_of"]

# Does not occur in any of the joined strings.
SEPARATOR = b"\n"


def fingerprint_of(call: Call, workspace: WorkspaceId | None) -> Fingerprint:
    """Return a hash of the workspace, method, host, target and body of a request."""
    digest = xxhash.xxh3_128()
    for text in (workspace or "", call.method, call.host, call.target):
        digest.update(text.encode())
        digest.update(SEPARATOR)
    digest.update(call.body)
    return Fingerprint(digest.hexdigest())

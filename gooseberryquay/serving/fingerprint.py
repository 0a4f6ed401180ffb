"""Recognise a request that a caller sends again under another id."""

import xxhash

from gooseberryquay.ids import Fingerprint, WorkspaceId
from gooseberryquay.serving.call import Call

__all__ = ["fingerprint_of"]

# Occurs in none of the joined texts.
SEPARATOR = b"\n"


def fingerprint_of(call: Call, workspace: WorkspaceId | None) -> Fingerprint:
    """Give the same text for each repeat: same caller, method, host, target and body."""
    digest = xxhash.xxh3_128()
    for text in (workspace or "", call.method, call.host, call.target):
        digest.update(text.encode())
        digest.update(SEPARATOR)
    digest.update(call.body)
    return Fingerprint(digest.hexdigest())

"""Typed identifiers shared by all subpackages."""

from typing import NewType

__all__ = [
    "ChangeId",
    "ClaimToken",
    "EntryId",
    "FencingNumber",
    "Fingerprint",
    "GenerationId",
    "IdempotencyKey",
    "Incarnation",
    "OperationName",
    "RequestId",
    "Revision",
    "ServiceId",
    "SiteId",
    "SoftwareVersion",
    "UpstreamId",
    "WorkKind",
    "WorkspaceId",
    "ZoneId",
]

ChangeId = NewType("ChangeId", str)
ClaimToken = NewType("ClaimToken", str)
EntryId = NewType("EntryId", str)
FencingNumber = NewType("FencingNumber", int)
Fingerprint = NewType("Fingerprint", str)
GenerationId = NewType("GenerationId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
Incarnation = NewType("Incarnation", int)
OperationName = NewType("OperationName", str)
RequestId = NewType("RequestId", str)
Revision = NewType("Revision", int)
ServiceId = NewType("ServiceId", str)
SiteId = NewType("SiteId", str)
SoftwareVersion = NewType("SoftwareVersion", str)
UpstreamId = NewType("UpstreamId", str)
WorkKind = NewType("WorkKind", str)
WorkspaceId = NewType("WorkspaceId", str)
ZoneId = NewType("ZoneId", str)

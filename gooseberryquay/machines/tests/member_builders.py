"""Test data for entries and upstreams."""

from gooseberryquay.contracts import Address
from gooseberryquay.contracts.upstream import UpstreamDeclaration
from gooseberryquay.ids import EntryId, Incarnation, ServiceId, UpstreamId, ZoneId
from gooseberryquay.machines.peer import Peer


def a_peer(name, port=1, incarnation=1):
    return Peer(
        id=EntryId(name),
        incarnation=Incarnation(incarnation),
        zone=ZoneId("sask-a"),
        control_address=Address("127.0.0.1", port),
    )


def an_upstream(name, port=1, checks_fencing=True):
    return UpstreamDeclaration(
        id=UpstreamId(name),
        service=ServiceId("yield-model"),
        zone=ZoneId("sask-a"),
        address=Address("127.0.0.1", port),
        checks_fencing=checks_fencing,
    )

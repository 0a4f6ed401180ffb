import time

import pytest
from result import Err, Ok

from gooseberryquay.contracts.fields import Address
from gooseberryquay.ids import EntryId, Incarnation, RequestId, ZoneId
from gooseberryquay.links.http_client import Reply, TransportTimeout
from gooseberryquay.links.http_server import Request, Router
from gooseberryquay.machines.peer import Peer
from gooseberryquay.serving.stream_witnesses import ASKED_MAX, StreamWitnesses, add_witness_routes
from gooseberryquay.serving.version_history import StreamOrigin

STREAM = RequestId("s-1")
ORIGIN = StreamOrigin(service="model", version="v2", at_s=1000.0)


class _Keeper:
    def __init__(self):
        self.origins = {}

    def keep_for_peer(self, origins):
        self.origins.update(origins)
        return True

    def find_for_peer(self, streams, reads_store):
        return {each: self.origins[each] for each in streams if each in self.origins}

    def kept_for_s(self):
        return 60.0


class _Peers:
    """Deliver messages to the routers of other entries, but not to those in `silent`."""

    def __init__(self, count):
        self.keepers = {f"e-{number}": _Keeper() for number in range(count)}
        self.silent = set()
        self.early_builds = set()
        self.gone = set()

    def this_entry(self):
        return _peer("e-0")

    def known(self):
        return tuple(map(_peer, self.keepers))

    def live(self):
        return tuple(_peer(each) for each in self.keepers if each not in self.gone)

    def send(self, to, path, message, timeout_s):
        if to.id in self.silent | self.gone:
            return Err(TransportTimeout("silent", was_sent=True))
        router = Router()
        if to.id not in self.early_builds:
            add_witness_routes(router, self.keepers[to.id])
        body = message.model_dump_json().encode()
        request = Request("POST", path, {}, {}, body, open_stream=None, after_response=None)
        answer = router.handle(request)
        return Ok(Reply(status=answer.status, body=answer.body, headers={}))

    def holders(self):
        return [name for name, each in self.keepers.items() if STREAM in each.origins]


def _peer(name):
    return Peer(
        id=EntryId(name),
        incarnation=Incarnation(1),
        zone=ZoneId("z-1"),
        control_address=Address("127.0.0.1", 1),
    )


def _witnesses(peers):
    return StreamWitnesses(peers, peers.known)


def _keep(peers):
    return _witnesses(peers).keep(STREAM, ORIGIN, time.monotonic() + 1.0)


@pytest.mark.parametrize("trouble", ["silent", "early_builds", "gone"])
def test_another_peer_keeps_a_record_that_the_first_one_does_not(trouble):
    undisturbed = _Peers(6)
    assert _keep(undisturbed)
    first = undisturbed.holders()
    assert len(first) == 2
    peers = _Peers(6)
    getattr(peers, trouble).add(first[0])
    assert _keep(peers)
    assert len(peers.holders()) == 2
    assert first[0] not in peers.holders()


# Guards against a record that is taken for kept though one more ended entry loses it.
def test_record_that_one_peer_keeps_is_not_kept_while_another_one_is_known():
    peers = _Peers(3)
    peers.silent.add("e-1")
    assert not _keep(peers)
    peers = _Peers(3)
    peers.gone.add("e-1")
    assert not _keep(peers)
    assert _keep(_Peers(2))
    assert not _keep(_Peers(1))


@pytest.mark.parametrize("count", [3, 6, 40])
def test_record_is_found_after_one_of_its_peers_has_ended(count):
    peers = _Peers(count)
    assert _keep(peers)
    peers.gone.add(peers.holders()[0])
    answers = _witnesses(peers).find(STREAM, reads_store=False)
    assert answers.origin == ORIGIN
    assert answers.are_all_asked == (count - 1 <= ASKED_MAX)


def test_peer_that_does_not_answer_has_kept_nothing():
    peers = _Peers(4)
    peers.silent.add("e-1")
    peers.early_builds.add("e-2")
    answers = _witnesses(peers).find(STREAM, reads_store=False)
    assert answers.origin is None
    assert sorted(answers.kept_for_s) == [0.0, 0.0, 60.0]

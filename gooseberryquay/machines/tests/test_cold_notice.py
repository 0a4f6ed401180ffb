from result import Ok

from gooseberryquay.ids import EntryId
from gooseberryquay.links.http_server import Request, Router
from gooseberryquay.machines.cold_notice import COLD_NOTICE_PATH, ColdNotices
from gooseberryquay.machines.load_report import LoadReport, UpstreamCondition
from gooseberryquay.machines.peer import Peer
from gooseberryquay.machines.tests.choice_builders import (
    WARM,
    MutableConfiguration,
    build_configuration,
    build_dispatcher,
    build_upstream,
    build_work,
)
from gooseberryquay.machines.tests.cold_builders import wait_until


def _post(path, body):
    return Request(
        "POST",
        path,
        {},
        {},
        body,
        open_stream=lambda _headers: None,
        after_response=lambda _action: None,
    )


class DirectPeers:
    """Deliver messages to the routers of the other entries in this process."""

    def __init__(self, own_id, routers):
        self.own_id = own_id
        self.routers = routers

    def _peer(self, peer_id):
        return Peer(id=peer_id, incarnation=1, zone="sask-a", control_address="127.0.0.1:1")

    def this_entry(self):
        return self._peer(self.own_id)

    def live(self):
        return tuple(self._peer(each) for each in self.routers)

    def send(self, to, path, message, timeout_s):
        return Ok(self.routers[to.id].handle(_post(path, message.model_dump_json().encode())))


def test_entries_that_were_told_stop_sending_to_an_upstream_that_turned_cold():
    configuration = MutableConfiguration(build_configuration([build_upstream(0)]))
    routers = {}
    notices = {}
    dispatchers = {}
    for name in ("entry-1", "entry-2", "entry-3"):
        dispatchers[name] = build_dispatcher(
            configuration, on_turned_cold=lambda upstream, own=name: notices[own].announce(upstream)
        )
        peers = DirectPeers(EntryId(name), routers)
        notices[name] = ColdNotices(peers, dispatchers[name].record_cold)
        routers[name] = Router()
        notices[name].add_routes(routers[name])
        notices[name].start()
    assert all(each.place(build_work()).is_ok() for each in dispatchers.values())
    cold = LoadReport(condition=UpstreamCondition.COLD, kv_total_tokens=10_000)
    dispatchers["entry-1"].record_report("engine-0", cold)
    wait_until(lambda: not any(each.place(build_work()).is_ok() for each in dispatchers.values()))
    dispatchers["entry-2"].record_report("engine-0", WARM.model_copy(update={"age_s": 10.0}))
    assert dispatchers["entry-2"].place(build_work()).is_err()
    for each in notices.values():
        each.stop()


def test_unreadable_notice_is_refused():
    router = Router()
    ColdNotices(DirectPeers(EntryId("entry-1"), {}), lambda _upstream: None).add_routes(router)
    assert router.handle(_post(COLD_NOTICE_PATH, b"{")).status == 400

import time

import pytest
import urllib3

from gooseberryquay.contracts.declaration import Declaration
from gooseberryquay.contracts.settings import EntrySettings, PlatformSettings, Settings
from gooseberryquay.daemons.cluster import Cluster
from gooseberryquay.daemons.dispatching import Dispatching
from gooseberryquay.links.http_server import HttpServer, Router
from gooseberryquay.machines.control_budget import ControlBudget
from gooseberryquay.machines.control_meter import CONTROL_PATHS, MeteredRouter
from gooseberryquay.standins.platform import PlatformStandIn
from gooseberryquay.standins.process import find_free_port
from gooseberryquay.zones.configuration_messages import PULL_PATH, PullReply, PullRequest

HOST = "127.0.0.1"
WAIT_TIMEOUT_S = 40.0


class Node:
    """Run the cluster components of one entry, with their control API, in this process."""

    def __init__(self, name, entries, platform_port):
        own = entries[name]
        self.settings = Settings(declaration=Declaration(), entries=entries)
        platform = PlatformSettings(address=(HOST, platform_port))
        self.cluster = Cluster(self.settings, own, platform)
        router = MeteredRouter(self.cluster.budget)
        self.cluster.add_routes(router)
        self.server = HttpServer(*own.control_address, router)
        self.server.start()
        self.cluster.start()

    def stop(self):
        self.cluster.stop()
        self.server.stop()

    def query_members(self, node):
        """Return the members that another node considers when it detects a platform outage."""
        request = PullRequest(after_revision=0, wants_members=True)
        peer = node.cluster.membership.this_entry()
        sent = self.cluster.membership.send(peer, PULL_PATH, request, timeout_s=5.0)
        return sorted(PullReply.model_validate_json(sent.unwrap().body).members)


@pytest.fixture
def platform():
    standin = PlatformStandIn()
    standin.start()
    yield standin
    standin.stop()


def _entries(*names):
    return {
        name: EntrySettings(
            id=name,
            zone="sask-a",
            address=(HOST, find_free_port()),
            control_address=(HOST, find_free_port()),
        )
        for name in names
    }


@pytest.fixture
def start_nodes(platform):
    started = []

    def start(*names):
        entries = _entries(*names)
        started.extend(Node(name, entries, platform.port) for name in names)
        return started

    yield start
    for node in started:
        node.stop()


@pytest.fixture
def nodes(start_nodes):
    return start_nodes("entry-0", "entry-1", "entry-2")


def _wait_until(condition):
    deadline_s = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline_s, "condition was not met in time"
        time.sleep(0.05)


def test_gracefully_leaving_entry_is_not_considered_in_outage_detection(nodes):
    first, second, leaving = nodes
    all_names = ["entry-0", "entry-1", "entry-2"]
    _wait_until(lambda: second.query_members(first) == all_names)
    _wait_until(lambda: first.query_members(second) == all_names)
    leaving.cluster.membership.announce_leave()
    _wait_until(lambda: second.query_members(first) == ["entry-0", "entry-1"])
    _wait_until(lambda: first.query_members(second) == ["entry-0", "entry-1"])


def test_peer_messages_and_configuration_reads_share_one_budget(nodes, monkeypatch):
    budget = nodes[0].cluster.budget
    spent = []
    monkeypatch.setattr(budget, "spend", spent.append)
    nodes[0].query_members(nodes[1])
    sent_count = len(spent)
    nodes[1].query_members(nodes[0])
    assert len(spent) > sent_count >= 1
    monkeypatch.undo()
    budget.spend(1_000_000)
    to = nodes[0].cluster.membership.this_entry().control_address
    response = urllib3.request("GET", f"http://{to}/members", retries=False)
    assert response.status == 503


def test_load_polls_yield_to_cluster_traffic(nodes):
    poller = Dispatching(nodes[0].settings, nodes[0].cluster)._poller
    assert poller._control is nodes[0].cluster.budget


def test_platform_calls_are_charged_to_the_budget(start_nodes, monkeypatch):
    spent = []
    monkeypatch.setattr(ControlBudget, "spend", lambda _budget, count: spent.append(count))
    start_nodes("entry-0")
    _wait_until(lambda: len(spent) > 4)


class RecordingRouter(Router):
    """Record the registered paths."""

    def __init__(self):
        super().__init__()
        self.paths = []

    def add(self, method, path, handler):
        self.paths.append(path)
        super().add(method, path, handler)


def test_every_peer_path_except_those_of_postings_counts_as_control_traffic(nodes):
    served = RecordingRouter()
    nodes[0].cluster.add_routes(served)
    Dispatching(nodes[0].settings, nodes[0].cluster).add_routes(served)
    assert served.paths
    assert [each for each in served.paths if not each.startswith(CONTROL_PATHS)] == []
    unused = [each for each in CONTROL_PATHS if not any(p.startswith(each) for p in served.paths)]
    assert unused == []

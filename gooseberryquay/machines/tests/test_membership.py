import time

import urllib3

from gooseberryquay.contracts import Address
from gooseberryquay.ids import Revision
from gooseberryquay.links.platform_client import PlatformClient
from gooseberryquay.links.platform_messages import InstanceState
from gooseberryquay.machines.control_budget import ControlBudget
from gooseberryquay.machines.member_changes import ChangeQueue
from gooseberryquay.machines.member_messages import HeartbeatExtras, MemberList, MemberRecord
from gooseberryquay.machines.pause_detector import PauseDetector
from gooseberryquay.machines.tests.member_builders import FAST, build_peer, wait_until
from gooseberryquay.standins.process import find_free_port


def _add_many(fleet, count):
    first = fleet("entry-0")
    members = [first, *(fleet(f"entry-{number}", first) for number in range(1, count))]
    names = sorted(member.peer.id for member in members)
    wait_until(lambda: all(member.names() == names for member in members))
    return members


def _refutations(member):
    """Return how often a member has refuted a suspicion."""
    answer = urllib3.request("GET", f"http://{member.address}/members")
    records = MemberList.model_validate_json(answer.data).members
    return next(record.refutation for record in records if record.id == member.peer.id)


def test_cut_between_two_members_removes_neither(fleet):
    members = _add_many(fleet, 3)
    _cut(members[0], members[1])
    end_s = time.monotonic() + 4 * FAST.suspicion_s
    while time.monotonic() < end_s:
        assert all(len(member.names()) == 3 for member in members)
        time.sleep(0.05)
    assert all(_refutations(member) <= 1 for member in members)


def _cut(one, other):
    one.connections.cut.add(other.address)
    other.connections.cut.add(one.address)


def test_partition_heals_after_the_seed_was_replaced(fleet):
    seed, *members = _add_many(fleet, 6)
    seed.stop()
    left, right = members[:2], members[2:]
    for one in left:
        for other in right:
            _cut(one, other)
    wait_until(lambda: all(len(one.names()) == 2 for one in left))
    wait_until(lambda: all(len(other.names()) == 3 for other in right))
    for member in members:
        member.connections.cut.clear()
    wait_until(lambda: all(len(member.names()) == 5 for member in members))


def test_leave_reaches_members_that_have_no_link_to_the_leaver(fleet):
    members = _add_many(fleet, 5)
    leaver = members[4]
    for member in members[1:4]:
        _cut(leaver, member)
    leaver.membership.announce_leave()
    wait_until(lambda: all("entry-4" not in member.names() for member in members))


def test_leave_that_no_heartbeat_told_is_read_from_a_list(fleet, monkeypatch):
    monkeypatch.setattr(ChangeQueue, "add", lambda _queue, _record: None)
    members = _add_many(fleet, 4)
    leaver = members[3]
    for member in members[1:3]:
        _cut(leaver, member)
    leaver.membership.announce_leave()
    wait_until(lambda: all("entry-3" not in member.names() for member in members))


def test_restart_after_the_clock_went_back_replaces_the_former_run(fleet):
    seed = fleet("entry-0")
    former = fleet("entry-1", seed, incarnation=1000)
    former.stop()
    later = fleet("entry-1", seed, incarnation=10)
    assert later.membership.this_entry().incarnation > 1000
    wait_until(lambda: later.membership.this_entry() in seed.membership.live())
    assert former.membership.this_entry() not in seed.membership.live()


def test_run_that_was_replaced_learns_it(fleet):
    seed = fleet("entry-0")
    former = fleet("entry-1", seed, incarnation=1)
    fleet("entry-1", seed, incarnation=2)
    wait_until(former.membership.is_superseded)


def test_entry_joins_through_a_seed_while_the_platform_is_out(fleet):
    outage = PlatformClient(Address("127.0.0.1", find_free_port()))
    seed = fleet("entry-0", platform=outage)
    joining = fleet("entry-1", seed, platform=outage)
    wait_until(lambda: seed.names() == joining.names() == ["entry-0", "entry-1"])


def test_entries_find_each_other_in_the_platforms_list(fleet, platform):
    members = [fleet("entry-0", platform=platform), fleet("entry-1", platform=platform)]
    wait_until(lambda: all(len(member.names()) == 2 for member in members))
    members[1].membership.announce_leave()
    wait_until(
        lambda: InstanceState.LEAVING
        in [each.state for each in platform.instances().unwrap() if each.id == "entry-1"]
    )


def test_entry_that_finds_it_was_paused_removes_nobody(fleet, monkeypatch):
    members = _add_many(fleet, 3)
    monkeypatch.setattr(PauseDetector, "tick", lambda _pause_detector: True)
    members[2].stop()
    time.sleep(4 * FAST.suspicion_s)
    assert all("entry-2" in member.names() for member in members[:2])
    monkeypatch.undo()
    wait_until(lambda: all("entry-2" not in member.names() for member in members[:2]))


def test_age_is_believed_from_answers_only(fleet):
    heard = {"entry-0": [], "entry-1": []}
    extras = HeartbeatExtras(revision=Revision(7), confirmed_age_s=3.0)

    def options(name):
        return {
            "extras": lambda: extras,
            "on_extras": lambda _peer, extras: heard[name].append(extras),
        }

    seed = fleet("entry-0", **options("entry-0"))
    fleet("entry-1", seed, **options("entry-1"))
    wait_until(lambda: all(len(each) > 10 for each in heard.values()))
    for received in heard.values():
        assert {each.revision for each in received} == {7}
        ages_s = {each.confirmed_age_s for each in received}
        assert None in ages_s
        assert all(age_s > 3.0 for age_s in ages_s if age_s is not None)


def test_member_short_of_bytes_gives_no_list_and_says_when(fleet):
    budget = ControlBudget()
    member = fleet("entry-0", budget=budget)
    budget.spend(30_000)
    answer = urllib3.request("GET", f"http://{member.address}/members", retries=False)
    assert answer.status == 503
    assert 1 <= int(answer.headers["Retry-After"]) <= 2


def test_joining_entry_reads_the_list_of_another_seed_when_one_gives_none(fleet):
    short = ControlBudget()
    first = fleet("entry-0", budget=short)
    second = fleet("entry-1", first)
    wait_until(lambda: first.names() == second.names() == ["entry-0", "entry-1"])
    wait_until(lambda: first.membership._changes.count() == 0)
    short.spend(10_000_000)
    joined = [fleet(f"entry-{number}", first, second) for number in range(2, 6)]
    assert all("entry-1" in each.names() for each in joined)


def test_few_changes_go_along_while_bytes_are_short():
    changes = ChangeQueue()
    for number in range(9):
        changes.add(MemberRecord(**dict(build_peer(f"entry-{number}"))))
    assert len(changes.next_batch(9, is_reduced=True)) == 2
    assert len(changes.next_batch(9)) == 6


def test_entry_short_of_bytes_tells_few_changes_and_reads_no_list(fleet, monkeypatch):
    budget = ControlBudget()
    exchange = fleet("entry-0", budget=budget).membership._exchange
    read = []
    monkeypatch.setattr(exchange, "pull", lambda address: read.append(address) or True)
    for number in range(1, 10):
        exchange._changes.add(MemberRecord(**dict(build_peer(f"entry-{number}"))))
    budget.spend(1_000_000)
    exchange.pull_if_different(Address("127.0.0.1", 1), "another digest")
    assert len(exchange._build(None).changes) == 2
    assert not read


def test_list_that_was_refused_is_asked_for_again_soon(fleet, monkeypatch):
    exchange = fleet("entry-0").membership._exchange
    asked = []
    monkeypatch.setattr(exchange, "pull", lambda address: bool(asked.append(address)))
    wait_until(
        lambda: exchange.pull_if_different(Address("127.0.0.1", 1), "other") or len(asked) == 2
    )
    assert exchange._next_pull_s <= time.monotonic() + FAST.period_s

from gooseberryquay.machines.member_changes import ChangeQueue
from gooseberryquay.machines.member_messages import MemberRecord, MemberState
from gooseberryquay.machines.member_table import MemberTable
from gooseberryquay.machines.member_timing import MembershipTiming
from gooseberryquay.machines.pause_detector import PauseDetector
from gooseberryquay.machines.tests.member_builders import build_peer


def _record(name, incarnation=1, refutation=0, state=MemberState.ALIVE):
    peer = build_peer(name, incarnation=incarnation)
    return MemberRecord(**peer.model_dump(), refutation=refutation, state=state)


class Clock:
    def __init__(self):
        self.now_s = 0.0

    def __call__(self):
        return self.now_s


def _table():
    clock = Clock()
    table = MemberTable(_record("me"), ChangeQueue(), MembershipTiming(), clock)
    table.freeze_incarnation()
    return table, clock


def _names(table):
    return sorted(peer.id for peer in table.live())


def test_old_report_does_not_bring_a_removed_run_back():
    table, clock = _table()
    table.merge(_record("other"))
    table.suspect(_record("other"))
    assert _names(table) == ["me", "other"]
    clock.now_s = 100.0
    table.expire()
    table.merge(_record("other"))
    assert _names(table) == ["me"]
    table.merge(_record("other", refutation=1))
    assert _names(table) == ["me", "other"]


def test_report_of_a_former_run_changes_nothing():
    table, _clock = _table()
    table.merge(_record("other", incarnation=2))
    table.merge(_record("other", incarnation=1, refutation=9, state=MemberState.REMOVED))
    assert table.live()[1].incarnation == 2


def test_removal_heard_of_a_member_held_alive_lets_it_refute():
    table, clock = _table()
    table.merge(_record("other"))
    table.merge(_record("other", state=MemberState.REMOVED))
    assert _names(table) == ["me", "other"]
    table.merge(_record("other", refutation=1))
    clock.now_s = 100.0
    table.expire()
    assert _names(table) == ["me", "other"]


def test_suspicion_of_this_entry_is_refuted():
    table, _clock = _table()
    table.merge(_record("me", refutation=3, state=MemberState.REMOVED))
    assert table.this_entry.refutation == 4


def test_suspicion_starts_again_after_a_pause_of_this_process():
    table, clock = _table()
    table.merge(_record("other"))
    table.suspect(_record("other"))
    clock.now_s = 100.0
    table.restart_suspicions()
    table.expire()
    assert _names(table) == ["me", "other"]


def test_pause_is_noticed_once():
    clock = Clock()
    pause_detector = PauseDetector(3.5, clock)
    clock.now_s = 3.0
    assert not pause_detector.tick()
    clock.now_s = 10.0
    assert pause_detector.is_overdue()
    assert pause_detector.tick()
    assert not pause_detector.tick()


def test_members_read_from_a_list_are_not_sent_on():
    changes = ChangeQueue()
    table = MemberTable(_record("me"), changes, MembershipTiming())
    table.merge(_record("other"), should_gossip=False)
    assert changes.count() == 0
    table.merge(_record("third"))
    assert changes.count() == 1


def test_changes_are_sent_a_bounded_number_of_times():
    changes = ChangeQueue()
    for number in range(40):
        changes.add(_record(f"entry-{number}"))
    batches = [changes.next_batch(480) for _ in range(200)]
    assert changes.count() == 0
    assert max(len(batch) for batch in batches) <= 6
    assert sum(len(batch) for batch in batches) == 40 * 18

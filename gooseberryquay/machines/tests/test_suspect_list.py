import pytest

from gooseberryquay.ids import UpstreamId
from gooseberryquay.machines.suspect_messages import Verdict
from gooseberryquay.machines.tests.member_builders import wait_until
from gooseberryquay.standins.platform_faults import LostAnswers, Outage, PlatformFaults

ONE, TWO, THREE = UpstreamId("yield-1"), UpstreamId("yield-2"), UpstreamId("yield-3")
OUT = PlatformFaults(outage=Outage.REFUSE)


@pytest.fixture
def pair(fleet, platform):
    members = [fleet("entry-0")]
    members.append(fleet("entry-1", members[0]))
    wait_until(lambda: all(len(member.names()) == 2 for member in members))
    return [member.add_suspects(platform) for member in members]


def _stored_text(platform):
    return "".join(each.value for each in platform.list("suspects/").unwrap())


def test_request_that_crashes_upstreams_is_refused_at_another_entry(pair):
    first, second = pair
    assert second.verdict("poison") is Verdict.NORMAL
    first.upstream_died(ONE, ["poison", "neighbour-1"])
    wait_until(lambda: second.verdict("poison") is Verdict.ALONE)
    second.upstream_died(TWO, ["poison", "neighbour-2"])
    wait_until(lambda: first.verdict("poison") is Verdict.REFUSED)
    assert second.verdict("poison") is Verdict.REFUSED
    for name in ("neighbour-1", "neighbour-2"):
        wait_until(lambda name=name: first.verdict(name) is Verdict.ALONE)


def test_neighbour_is_cleared_everywhere_by_a_finished_run(pair):
    first, second = pair
    first.upstream_died(ONE, ["neighbour"])
    wait_until(lambda: second.verdict("neighbour") is Verdict.ALONE)
    second.finished("neighbour")
    wait_until(lambda: first.verdict("neighbour") is Verdict.NORMAL)
    first.upstream_died(TWO, ["neighbour"])
    assert first.verdict("neighbour") is Verdict.ALONE


def test_one_death_counts_once_when_both_entries_report_it(pair):
    first, second = pair
    first.upstream_died(ONE, ["request"])
    second.upstream_died(ONE, ["request", "marker"])
    wait_until(lambda: first.verdict("marker") is Verdict.ALONE)
    assert first.verdict("request") is second.verdict("request") is Verdict.ALONE


def test_count_outlives_every_entry(fleet, platform):
    former = fleet("entry-0").add_suspects(platform)
    former.upstream_died(ONE, ["poison"])
    former.upstream_died(TWO, ["poison"])
    wait_until(lambda: _stored_text(platform).count("yield-") == 2)
    replacement = fleet("entry-9").add_suspects(platform)
    wait_until(lambda: replacement.verdict("poison") is Verdict.REFUSED)


def test_platform_outage_holds_up_neither_spreading_nor_a_new_entry(
    fleet, platform, platform_standin
):
    platform_standin.set_faults(OUT)
    seed = fleet("entry-0")
    first = seed.add_suspects(platform)
    first.upstream_died(ONE, ["poison"])
    first.upstream_died(TWO, ["poison"])
    joined = fleet("entry-1", seed)
    assert joined.add_suspects(platform).verdict("poison") is Verdict.REFUSED
    platform_standin.set_faults(PlatformFaults())
    wait_until(lambda: _stored_text(platform).count("yield-") == 2)


def test_lost_answer_of_the_platform_counts_no_death_twice(pair, platform, platform_standin):
    platform_standin.set_faults(
        PlatformFaults(lost_answers=LostAnswers(count=2, key_prefix="suspects/"))
    )
    pair[0].upstream_died(ONE, ["request"])
    wait_until(lambda: _stored_text(platform).count("yield-") == 1)
    pair[1].upstream_died(TWO, ["other"])
    wait_until(lambda: "other" in _stored_text(platform))
    assert pair[0].verdict("request") is pair[1].verdict("request") is Verdict.ALONE


def test_upstream_takes_one_suspect_at_a_time_from_all_entries(pair):
    first, second = pair
    first.upstream_died(ONE, ["a", "b"])
    wait_until(lambda: second.verdict("b") is Verdict.ALONE)
    assert first.take_slot("a", TWO)
    assert not second.take_slot("b", TWO)
    assert second.take_slot("b", THREE)
    first.finished("a")
    assert second.take_slot("b", TWO)


def test_old_deaths_are_forgotten(fleet, platform):
    now_s = [1000.0]
    suspects = fleet("entry-0").add_suspects(platform, retention_s=60.0, clock=lambda: now_s[0])
    suspects.upstream_died(ONE, ["request"])
    now_s[0] += 61.0
    assert suspects.verdict("request") is Verdict.NORMAL


def test_deaths_that_two_entries_saw_are_joined_before_all_are_told(fleet, platform):
    members = [fleet("entry-0")]
    members += [fleet(f"entry-{number}", members[0]) for number in range(1, 8)]
    wait_until(lambda: all(len(each.names()) == 8 for each in members))
    lists = [each.add_suspects(platform, 3, share_min_deaths=3) for each in members]
    lists[0].upstream_died(ONE, ["poison"])
    lists[1].upstream_died(TWO, ["poison"])
    assert sum(each.record("poison") is not None for each in lists) < len(lists)
    lists[2].upstream_died(THREE, ["poison"])
    # The entries that write the record respond with what they know.
    assert lists[2].verdict("poison") is Verdict.REFUSED
    wait_until(lambda: all(each.verdict("poison") is Verdict.REFUSED for each in lists))

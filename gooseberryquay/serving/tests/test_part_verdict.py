from gooseberryquay.machines.suspect_messages import Death, SuspectRecord
from gooseberryquay.serving.crash_verdict import Allowed, Refused, Trial
from gooseberryquay.serving.part_verdict import (
    convict_parts,
    convicted_in,
    trial_fingerprint_of,
    verdict_of_parts,
)

NOW_S = 1000.0


def _record(part, *upstreams, prefix="part/", **changes):
    deaths = tuple(
        Death(upstream=f"i-{each}", at_s=NOW_S + number) for number, each in enumerate(upstreams)
    )
    return SuspectRecord(fingerprint=f"{prefix}{part}", deaths=deaths, **changes)


def _convicted(*records):
    return [sorted(each.parts) for each in convict_parts(records, NOW_S)]


def test_part_is_convicted_after_three_crashes_and_not_before():
    assert _convicted(_record("a", 1, 2)) == []
    assert _convicted(_record("a", 1, 2, 3)) == [["part/a"]]


def test_whole_requests_are_not_taken_for_parts():
    assert _convicted(_record("a", 1, 2, 3, prefix="")) == []


def test_neighbor_whose_crashes_another_part_explains_is_not_convicted():
    assert _convicted(_record("bad", 1, 2, 3, 4), _record("first", 1, 2, 3)) == [["part/bad"]]


def test_two_parts_that_crash_engines_are_both_convicted():
    convicted = _convicted(_record("a", 1, 2, 3, 4), _record("b", 4, 5, 6, 7))
    assert convicted == [["part/b"], ["part/a"]]


def test_parts_that_no_crash_tells_apart_block_only_prompts_that_hold_both():
    convicted = convict_parts([_record("a", 1, 2, 3), _record("b", 1, 2, 3)], NOW_S)
    assert convicted_in(["part/a"], convicted) is None
    assert convicted_in(["part/b"], convicted) is None
    assert convicted_in(["part/c", "part/b", "part/a"], convicted) is convicted[0]


def test_prompt_without_the_part_is_allowed():
    convicted = convict_parts([_record("a", 1, 2, 3)], NOW_S)
    assert verdict_of_parts(convicted_in(["part/b"], convicted), None, NOW_S) == Allowed()


def test_uncertain_crashes_count_for_a_while_only():
    silent = tuple(Death(upstream=f"i-{n}", at_s=NOW_S, is_certain=False) for n in range(3))
    record = SuspectRecord(fingerprint="part/a", deaths=silent)
    assert convict_parts([record], NOW_S - 1.0)
    assert not convict_parts([record], NOW_S + 1.0)


def test_trials_of_a_part_become_rarer_with_each_that_fails():
    [convicted] = convict_parts([_record("a", 1, 2, 3)], NOW_S)
    now_s, trials = NOW_S + 2.0, None
    waits_s = []
    for number in range(5):
        verdict = verdict_of_parts(convicted, trials, now_s)
        assert isinstance(verdict, Refused)
        waits_s.append(round(verdict.remaining_s))
        now_s += verdict.remaining_s
        assert verdict_of_parts(convicted, trials, now_s) == Trial()
        trial = Death(upstream=f"trial/{number}", at_s=now_s)
        deaths = (*(trials.deaths if trials is not None else ()), trial)
        trials = SuspectRecord(fingerprint=trial_fingerprint_of(convicted), deaths=deaths)
    assert waits_s == [2, 8, 32, 128, 512]


def test_record_of_a_part_keeps_no_death_before_its_latest_good_run():
    record = _record("a", 1, 2, 3).cleared_up_to(NOW_S + 1.5)
    assert record.suspected_upstreams(NOW_S) == {"i-3"}
    again = record.merged(_record("a", 1, 2, 3), span_s=15.0)
    assert again == record

import threading

import pytest
from result import Err, Ok

from gooseberryquay.standins.platform_faults import LostAnswers, Outage, PlatformFaults
from gooseberryquay.standins.platform_limits import CallKind
from gooseberryquay.zones.configuration_change import ReplaceDeclaration
from gooseberryquay.zones.configuration_document import (
    CURRENT_KEY,
    MAX_TAIL_CHANGES,
    ConfigurationDocument,
)
from gooseberryquay.zones.configuration_failure import (
    ChangeRejected,
    ChangeUndecided,
    ConfigurationConflict,
    ConfigurationUnavailable,
)
from gooseberryquay.zones.configuration_problem import (
    InvalidDeclaration,
    UnknownUpstream,
    UnknownZone,
)
from gooseberryquay.zones.configuration_store import ConfigurationStore
from gooseberryquay.zones.tests.builders import (
    YIELD_MODEL,
    drain,
    make_declaration,
    make_upstream,
    zone_back,
    zone_out,
)


def _document(client):
    return ConfigurationDocument.model_validate_json(client.read(CURRENT_KEY).unwrap().value)


def test_each_revision_has_one_winner_among_concurrent_operators(store):
    store.create(make_declaration(), "first")
    results = []

    def operate(name):
        for expected in range(1, 6):
            results.append((name, store.apply(drain("yield-0"), name, expected)))

    operators = [threading.Thread(target=operate, args=(f"op-{n}",)) for n in range(8)]
    for each in operators:
        each.start()
    for each in operators:
        each.join()
    accepted = {result.unwrap().revision: name for name, result in results if result.is_ok()}
    wins = [result for _, result in results if result.is_ok()]
    assert len(wins) == len(accepted) == store.read().unwrap().configuration.revision - 1
    losers = [result.unwrap_err() for _, result in results if result.is_err()]
    assert losers
    for conflict in losers:
        assert isinstance(conflict, ConfigurationConflict)
        for winner in conflict.winners:
            assert winner.author == accepted[winner.revision]
        if conflict.current_revision > conflict.expected_revision:
            assert conflict.winners[0].revision == conflict.expected_revision + 1


@pytest.mark.parametrize("is_applied", [True, False])
def test_lost_response_is_resolved_and_the_change_takes_effect_once(
    platform, store, client, is_applied
):
    store.create(make_declaration(), "first")
    lost = LostAnswers(count=1, key_prefix=CURRENT_KEY, is_applied=is_applied)
    platform.set_faults(PlatformFaults(lost_answers=lost))
    assert store.apply(zone_out(), "op").unwrap().revision == 2
    document = _document(client)
    assert [each.revision for each in document.changes] == [1, 2]


def test_lost_response_to_a_losing_write_is_a_conflict(platform, store, client):
    store.create(make_declaration(), "first")
    lost = LostAnswers(count=1, key_prefix=CURRENT_KEY, is_applied=False)
    platform.set_faults(PlatformFaults(lost_answers=lost))
    slow, quick = [], ConfigurationStore(client)
    slow_operator = threading.Thread(target=lambda: slow.append(store.apply(zone_out(), "slow")))
    slow_operator.start()
    while _write_calls(platform) < 3:
        pass
    won = quick.apply(drain("yield-0"), "quick", 1)
    slow_operator.join()
    outcomes = [won, slow[0]]
    assert sorted(each.is_ok() for each in outcomes) == [False, True]
    loser = next(each.unwrap_err() for each in outcomes if each.is_err())
    assert isinstance(loser, ConfigurationConflict)


def _write_calls(platform):
    return platform.counts().calls(CallKind.WRITE, "config")


def test_persistently_lost_responses_are_reported_as_undecided(platform, client):
    store = ConfigurationStore(client, commit_timeout_s=0.5)
    store.create(make_declaration(), "first")
    lost = LostAnswers(key_prefix=CURRENT_KEY, is_applied=False)
    platform.set_faults(PlatformFaults(lost_answers=lost))
    assert isinstance(store.apply(zone_out(), "op").unwrap_err(), ChangeUndecided)


@pytest.mark.parametrize("outage", [Outage.REFUSE, Outage.DROP, Outage.HANG])
def test_outage_is_reported_and_changes_nothing(platform, client, outage):
    store = ConfigurationStore(client, commit_timeout_s=0.5)
    store.create(make_declaration(), "first")
    platform.set_faults(PlatformFaults(outage=outage))
    assert isinstance(store.apply(zone_out(), "op").unwrap_err(), ConfigurationUnavailable)
    platform.set_faults(PlatformFaults())
    assert store.read().unwrap().configuration.revision == 1


def test_invalid_changes_are_never_accepted(store):
    store.create(make_declaration(), "first")
    undeclared = make_upstream("stray", zone="nowhere", service="nothing")
    declaration = make_declaration()
    invalid = declaration.model_copy(update={"upstreams": {"stray": undeclared}})
    expected = [
        (zone_out("sask-a", "nowhere"), UnknownZone),
        (drain("nothing"), UnknownUpstream),
        (ReplaceDeclaration(declaration=invalid), InvalidDeclaration),
    ]
    for change, problem_type in expected:
        match store.apply(change, "op"):
            case Err(ChangeRejected(problems)):
                assert {type(each) for each in problems} == {problem_type}
            case other:
                raise AssertionError(other)
    assert isinstance(store.create(invalid, "op").unwrap_err(), ChangeRejected)
    assert store.read().unwrap().configuration.revision == 1


def test_changes_are_compacted_into_snapshots_and_old_ones_are_deleted(store, client):
    store.create(make_declaration(), "first")
    revisions = 3 * MAX_TAIL_CHANGES
    for revision in range(2, revisions + 1):
        change = zone_out() if revision % 2 == 0 else zone_back()
        assert store.apply(change, "op").unwrap().revision == revision
    stored = store.read().unwrap()
    assert not stored.configuration.may_get_work(make_upstream("yield-0"))
    assert len(stored.document.changes) <= 2 * MAX_TAIL_CHANGES
    assert stored.document.snapshot.revision > MAX_TAIL_CHANGES
    assert len(client.list("config/snapshot-").unwrap()) <= 2


def test_declaration_at_the_target_size_fits_and_small_edits_stay_small(store, client):
    large = make_declaration(4800)
    assert store.create(make_declaration(), "first").is_ok()
    assert store.apply(ReplaceDeclaration(declaration=large), "op").is_ok()
    assert store.read().unwrap().configuration.declaration == large
    edited = large.model_copy(
        update={"upstreams": large.upstreams | {"yield-1": make_upstream("yield-1", port=7)}}
    )
    before_bytes = len(client.read(CURRENT_KEY).unwrap().value)
    assert before_bytes < 64 * 1024
    assert store.apply(ReplaceDeclaration(declaration=edited), "op").is_ok()
    assert store.read().unwrap().configuration.declaration == edited
    assert len(client.read(CURRENT_KEY).unwrap().value) - before_bytes < 1000
    assert YIELD_MODEL in edited.services


def test_removed_names_lose_their_administrative_state(store):
    store.create(make_declaration(4), "first")
    store.apply(drain("yield-0", "yield-3"), "op")
    store.apply(ReplaceDeclaration(declaration=make_declaration(3)), "op")
    match store.read():
        case Ok(stored):
            assert set(stored.configuration.upstream_orders) == {"yield-0"}
        case other:
            raise AssertionError(other)

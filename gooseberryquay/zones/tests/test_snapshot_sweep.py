import threading

import pytest

from gooseberryquay.ids import ChangeId, Revision
from gooseberryquay.standins.platform_faults import LostAnswers, Outage, PlatformFaults
from gooseberryquay.zones.configuration_change import ReplaceDeclaration
from gooseberryquay.zones.configuration_document import SNAPSHOT_PREFIX, SnapshotReference
from gooseberryquay.zones.configuration_store import ConfigurationStore
from gooseberryquay.zones.snapshot_objects import SnapshotObjects
from gooseberryquay.zones.snapshot_sweep import MAX_DELETES, SnapshotSweep
from gooseberryquay.zones.tests.builders import make_declaration

LARGE_UPSTREAM_COUNT = 400


@pytest.fixture
def store(link):
    return ConfigurationStore(link, snapshots_per_sweep=1)


def _replace_declaration(store, count):
    """Apply declarations whose patches are too large, so that new snapshots are written."""
    declaration = make_declaration(LARGE_UPSTREAM_COUNT + count)
    smaller = make_declaration(1)
    for each in (declaration, smaller):
        store.apply(ReplaceDeclaration(declaration=each), "op").unwrap()


def _write_orphan_chunks(link, revision, count):
    """Write chunks without a document, like a command killed before its conditional write."""
    reference = SnapshotReference(
        revision=Revision(revision), change_id=ChangeId(f"{count:032x}"), chunk_count=count
    )
    for key in reference.chunk_keys():
        link.write(key, "left behind").unwrap()
    return reference


def _keys(link):
    return {each.key for each in link.list(SNAPSHOT_PREFIX).unwrap()}


def _referenced_keys(store):
    document = store.read().unwrap().document
    referenced = (document.snapshot, *document.retired)
    return {key for reference in referenced for key in reference.chunk_keys()}


def test_chunks_of_a_killed_command_are_deleted_by_later_changes(store, link):
    store.create(make_declaration(), "first")
    _write_orphan_chunks(link, 1, MAX_DELETES + 3)
    for count in range(1, 5):
        _replace_declaration(store, count)
    assert _keys(link) == _referenced_keys(store)


def test_sweep_makes_a_bounded_number_of_calls(platform, store, link):
    store.create(make_declaration(), "first")
    _replace_declaration(store, 1)
    _replace_declaration(store, 2)
    document = store.read().unwrap().document
    orphan = _write_orphan_chunks(link, 1, MAX_DELETES + 3)
    calls = platform.counts().calls()
    assert SnapshotSweep(link).run(document) == MAX_DELETES
    assert platform.counts().calls() - calls == MAX_DELETES + 1
    assert len(set(orphan.chunk_keys()) & _keys(link)) == 3


def test_sweep_keeps_what_a_reader_or_a_later_change_may_need(store, link):
    store.create(make_declaration(), "first")
    _replace_declaration(store, 1)
    stored = store.read().unwrap()
    referenced = _referenced_keys(store)
    oldest = min(each.revision for each in (stored.document.snapshot, *stored.document.retired))
    newer = [
        _write_orphan_chunks(link, revision, 1)
        for revision in (oldest, stored.document.revision + 1)
    ]
    deleted = _write_orphan_chunks(link, oldest - 1, 2)
    SnapshotSweep(link).run(stored.document)
    assert _keys(link) == referenced | {key for each in newer for key in each.chunk_keys()}
    assert not set(deleted.chunk_keys()) & _keys(link)


def test_sweep_by_an_old_document_deletes_nothing_of_the_newest(store, link):
    store.create(make_declaration(), "first")
    _replace_declaration(store, 1)
    old = store.read().unwrap().document
    for count in range(2, 5):
        _replace_declaration(store, count)
    SnapshotSweep(link).run(old)
    assert _referenced_keys(store) <= _keys(link)
    assert store.read().unwrap().configuration.declaration == make_declaration(1)


def test_reader_that_began_before_the_newest_snapshot_can_finish(store, link):
    store.create(make_declaration(), "first")
    _replace_declaration(store, 1)
    document = store.read().unwrap().document
    store.apply(
        ReplaceDeclaration(declaration=make_declaration(LARGE_UPSTREAM_COUNT)), "op"
    ).unwrap()
    SnapshotSweep(link).run(store.read().unwrap().document)
    assert SnapshotObjects(link).read(document.snapshot).is_ok()


def test_lost_responses_and_outages_leave_chunks_for_the_next_sweep(platform, store, link):
    store.create(make_declaration(), "first")
    _replace_declaration(store, 1)
    _replace_declaration(store, 2)
    document = store.read().unwrap().document
    orphan = _write_orphan_chunks(link, 1, 4)
    platform.set_faults(
        PlatformFaults(lost_answers=LostAnswers(count=2, key_prefix=SNAPSHOT_PREFIX))
    )
    SnapshotSweep(link).run(document)
    platform.set_faults(PlatformFaults(outage=Outage.REFUSE))
    assert SnapshotSweep(link).run(document) == 0
    platform.set_faults(PlatformFaults())
    SnapshotSweep(link).run(document)
    assert not set(orphan.chunk_keys()) & _keys(link)
    assert _referenced_keys(store) <= _keys(link)


def test_concurrent_sweeps_never_delete_a_referenced_chunk(store, link):
    store.create(make_declaration(), "first")
    failures = []

    def operate(number):
        for count in range(6):
            _write_orphan_chunks(link, 1 + count, number + 1)
            declaration = make_declaration(LARGE_UPSTREAM_COUNT + 10 * number + count)
            store.apply(ReplaceDeclaration(declaration=declaration), f"op-{number}")
            if store.read().is_err():
                failures.append((number, count))

    operators = [threading.Thread(target=operate, args=(number,)) for number in range(4)]
    for each in operators:
        each.start()
    for each in operators:
        each.join()
    assert not failures
    assert _referenced_keys(store) <= _keys(link)

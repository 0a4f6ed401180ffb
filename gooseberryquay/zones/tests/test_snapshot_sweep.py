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
def store(client):
    return ConfigurationStore(client, snapshots_per_sweep=1)


def _replace_declaration(store, count):
    """Apply declarations whose patches are too large, so that new snapshots are written."""
    declaration = make_declaration(LARGE_UPSTREAM_COUNT + count)
    smaller = make_declaration(1)
    for each in (declaration, smaller):
        store.apply(ReplaceDeclaration(declaration=each), "op").unwrap()


def _write_orphan_chunks(client, revision, count):
    """Write chunks without a document, like a command killed before its conditional write."""
    reference = SnapshotReference(
        revision=Revision(revision), change_id=ChangeId(f"{count:032x}"), chunk_count=count
    )
    for key in reference.chunk_keys():
        client.write(key, "left behind").unwrap()
    return reference


def _keys(client):
    return {each.key for each in client.list(SNAPSHOT_PREFIX).unwrap()}


def _referenced_keys(store):
    document = store.read().unwrap().document
    referenced = (document.snapshot, *document.retired)
    return {key for reference in referenced for key in reference.chunk_keys()}


def test_chunks_of_a_killed_command_are_deleted_by_later_changes(store, client):
    store.create(make_declaration(), "first")
    _write_orphan_chunks(client, 1, MAX_DELETES + 3)
    for count in range(1, 5):
        _replace_declaration(store, count)
    assert _keys(client) == _referenced_keys(store)


def test_sweep_makes_a_bounded_number_of_calls(platform, store, client):
    store.create(make_declaration(), "first")
    _replace_declaration(store, 1)
    _replace_declaration(store, 2)
    document = store.read().unwrap().document
    orphan = _write_orphan_chunks(client, 1, MAX_DELETES + 3)
    calls = platform.counts().calls()
    assert SnapshotSweep(client).run(document) == MAX_DELETES
    assert platform.counts().calls() - calls == MAX_DELETES + 1
    assert len(set(orphan.chunk_keys()) & _keys(client)) == 3


def test_sweep_keeps_what_a_reader_or_a_later_change_may_need(store, client):
    store.create(make_declaration(), "first")
    _replace_declaration(store, 1)
    stored = store.read().unwrap()
    referenced = _referenced_keys(store)
    oldest = min(each.revision for each in (stored.document.snapshot, *stored.document.retired))
    newer = [
        _write_orphan_chunks(client, revision, 1)
        for revision in (oldest, stored.document.revision + 1)
    ]
    deleted = _write_orphan_chunks(client, oldest - 1, 2)
    SnapshotSweep(client).run(stored.document)
    assert _keys(client) == referenced | {key for each in newer for key in each.chunk_keys()}
    assert not set(deleted.chunk_keys()) & _keys(client)


def test_sweep_by_an_old_document_deletes_nothing_of_the_newest(store, client):
    store.create(make_declaration(), "first")
    _replace_declaration(store, 1)
    old = store.read().unwrap().document
    for count in range(2, 5):
        _replace_declaration(store, count)
    SnapshotSweep(client).run(old)
    assert _referenced_keys(store) <= _keys(client)
    assert store.read().unwrap().configuration.declaration == make_declaration(1)


def test_reader_that_began_before_the_newest_snapshot_can_finish(store, client):
    store.create(make_declaration(), "first")
    _replace_declaration(store, 1)
    document = store.read().unwrap().document
    store.apply(
        ReplaceDeclaration(declaration=make_declaration(LARGE_UPSTREAM_COUNT)), "op"
    ).unwrap()
    SnapshotSweep(client).run(store.read().unwrap().document)
    assert SnapshotObjects(client).read(document.snapshot).is_ok()


def test_lost_responses_and_outages_leave_chunks_for_the_next_sweep(platform, store, client):
    store.create(make_declaration(), "first")
    _replace_declaration(store, 1)
    _replace_declaration(store, 2)
    document = store.read().unwrap().document
    orphan = _write_orphan_chunks(client, 1, 4)
    platform.set_faults(
        PlatformFaults(lost_answers=LostAnswers(count=2, key_prefix=SNAPSHOT_PREFIX))
    )
    SnapshotSweep(client).run(document)
    platform.set_faults(PlatformFaults(outage=Outage.REFUSE))
    assert SnapshotSweep(client).run(document) == 0
    platform.set_faults(PlatformFaults())
    SnapshotSweep(client).run(document)
    assert not set(orphan.chunk_keys()) & _keys(client)
    assert _referenced_keys(store) <= _keys(client)


def test_concurrent_sweeps_never_delete_a_referenced_chunk(store, client):
    store.create(make_declaration(), "first")
    failures = []

    def operate(number):
        for count in range(6):
            _write_orphan_chunks(client, 1 + count, number + 1)
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
    assert _referenced_keys(store) <= _keys(client)

from gooseberryquay.ids import ChangeId, Revision
from gooseberryquay.zones.configuration import Configuration
from gooseberryquay.zones.configuration_change import AcceptedChange, DeclarationReplaced
from gooseberryquay.zones.local_configuration import LocalConfiguration, UpdateResult
from gooseberryquay.zones.tests.builders import make_declaration, make_upstream, zone_out


def _configuration(revision):
    return Configuration(revision=Revision(revision), declaration=make_declaration())


def _accepted(revision, change=None):
    return AcceptedChange(
        revision=Revision(revision),
        author="op",
        change_id=ChangeId(str(revision)),
        change=change or zone_out(),
    )


def _local_at(revision):
    local = LocalConfiguration()
    local.replace_if_newer(_configuration(revision))
    return local


def test_older_and_equal_configurations_are_ignored():
    local = _local_at(5)
    assert [local.replace_if_newer(_configuration(each)) for each in (4, 5)] == [
        UpdateResult.KNOWN
    ] * 2
    assert local.revision() == 5


def test_changes_are_applied_in_order_and_only_once():
    local = _local_at(5)
    assert local.apply([_accepted(5), _accepted(6)]) is UpdateResult.NEWER
    assert local.apply([_accepted(6)]) is UpdateResult.KNOWN
    assert local.revision() == 6
    assert not local.current().may_get_work(make_upstream("yield-0"))


def test_gap_and_missing_snapshot_leave_the_revision_unchanged():
    local = _local_at(5)
    assert local.apply([_accepted(7)]) is UpdateResult.GAP
    assert local.apply([_accepted(6, DeclarationReplaced())]) is UpdateResult.GAP
    assert local.revision() == 5


def test_confirmation_of_an_unknown_revision_is_ignored():
    local = _local_at(5)
    local.confirm(Revision(6), 0.0)
    assert local.confirmed_age_s() > 1e6
    local.confirm(Revision(5), 1.0)
    assert 1.0 <= local.confirmed_age_s() < 1e6
